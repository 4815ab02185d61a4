"""Talks to a daemon through an unmodified OpenAI client library.

Usage: python3 tools/openai_check.py http://127.0.0.1:21010/v1
Needs the package `openai` from PyPI and the plan of examples/local/sheet.csv.
"""

import sys

import openai


def ask(client, model, **options):
    messages = [{"role": "user", "content": "ivory with sage"}]
    return client.chat.completions.create(model=model, messages=messages, **options)


def main(address):
    client = openai.OpenAI(base_url=address, api_key="unused", max_retries=0)
    names = [model.id for model in client.models.list()]
    assert "contracts@2" in names, names
    whole = ask(client, "contracts", max_tokens=8).choices[0].message.content
    stream = ask(client, "contracts", max_tokens=8, stream=True)
    pieces = [chunk.choices[0].delta.content or "" for chunk in stream]
    assert "".join(pieces) == whole, (pieces, whole)
    plain = client.completions.create(model="colours", prompt="ivory", max_tokens=4)
    assert plain.choices[0].text
    try:
        ask(client, "no-such-model")
    except openai.NotFoundError as error:
        assert error.body["code"] == "102", error.body
    else:
        raise AssertionError("an unknown model was answered")
    print(f"openai {openai.__version__}: models, whole, stream, completion, error: fine")


if __name__ == "__main__":
    main(sys.argv[1])
