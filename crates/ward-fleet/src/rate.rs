//! Rates per second, as numbers of thousandths.

/// Defines a rate type from its documentation, its type name, and the name that error
/// messages use for it. The type has `Display` and `FromStr` (`2.8/s`), and `TryFrom` from
/// a number per second, which is rounded down.
macro_rules! rate_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug,
            Clone,
            Copy,
            Default,
            PartialEq,
            Eq,
            Hash,
            PartialOrd,
            Ord,
            ::serde_with::SerializeDisplay,
            ::serde_with::DeserializeFromStr,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The rate per second.
            #[must_use]
            pub const fn per_second(self) -> f64 {
                $crate::number::u64_to_f64(self.0) / 1_000.0
            }

            /// What the rate amounts to within a time span.
            #[must_use]
            pub fn within(self, span: ::ward_protocol::TimeSpan) -> f64 {
                self.per_second() * span.seconds()
            }
        }

        impl TryFrom<f64> for $name {
            type Error = ::ward_protocol::IdError;

            fn try_from(per_second: f64) -> Result<Self, Self::Error> {
                if !per_second.is_finite() || per_second < 0.0 {
                    return Err(::ward_protocol::IdError::Number($kind));
                }
                Ok(Self($crate::number::floor_to_u64(per_second * 1_000.0)))
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(formatter, "{}/s", self.per_second())
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = ::ward_protocol::IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix("/s").unwrap_or(text);
                let per_second: f64 = digits
                    .trim()
                    .parse()
                    .map_err(|_| ::ward_protocol::IdError::Number($kind))?;
                Self::try_from(per_second)
            }
        }
    };
}

pub(crate) use rate_type;
