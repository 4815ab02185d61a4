//! Writes a sheet as CSV.

use std::fmt::Display;

use ward_protocol::{EngineRole, PlanRow, RowTarget};

use crate::column::SheetColumn;
use crate::sheet::PlanSheet;

const DELIMITER: &str = ";";

impl SheetColumn {
    /// The text of a row's cell in this column, in the form that [`PlanSheet::read`] parses.
    #[must_use]
    pub fn render(self, row: &PlanRow) -> String {
        let is_service = matches!(row.target, RowTarget::Service(_));
        match self {
            Self::Target => row.target.to_string(),
            Self::Zones => join_words(&row.zones),
            Self::Roles => join_words(row.roles.iter().map(|role| role_name(*role))),
            Self::Replicas | Self::Ready | Self::Memory if is_service => String::new(),
            Self::Replicas => row.replicas.to_string(),
            Self::Ready => row.ready.to_string(),
            Self::ReadyFrom => row
                .ready_from
                .map_or(String::new(), |time| time.to_string()),
            Self::Priority => row.priority.to_string(),
            Self::Memory => row.memory.to_string(),
            Self::Repeatable => if row.repeatable { "yes" } else { "no" }.to_owned(),
        }
    }
}

fn join_words(items: impl IntoIterator<Item = impl Display>) -> String {
    let words: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    words.join(" ")
}

const fn role_name(role: EngineRole) -> &'static str {
    match role {
        EngineRole::Serving => "serving",
        EngineRole::Prefill => "prefill",
        EngineRole::Decode => "decode",
        EngineRole::Standby => "standby",
    }
}

impl PlanSheet {
    /// The sheet as CSV, with all columns and `;` as delimiter.
    ///
    /// No name or number of a checked row can contain a delimiter, quote or line
    /// break, so cells need no quoting.
    #[must_use]
    pub fn to_csv(&self) -> String {
        let header = SheetColumn::ALL.map(SheetColumn::name).join(DELIMITER);
        let rows = self.rows().map(|row| {
            SheetColumn::ALL
                .map(|column| column.render(row))
                .join(DELIMITER)
        });
        let mut text = header;
        for row in rows {
            text.push('\n');
            text.push_str(&row);
        }
        text.push('\n');
        text
    }
}
