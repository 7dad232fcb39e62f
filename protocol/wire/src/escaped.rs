//! Numbers of which some are followed by more, in a form that earlier versions do not
//! have.
use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// Reads a number, and what follows if it is `escape`.
///
/// # Errors
///
/// Returns the error of the deserializer.
pub fn deserialize<'de, N, T, D>(deserializer: D, escape: N) -> Result<(N, Option<T>), D::Error>
where
    N: Deserialize<'de> + PartialEq,
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    let visitor = EscapedVisitor {
        escape,
        rest: PhantomData,
    };
    deserializer.deserialize_tuple(2, visitor)
}

struct EscapedVisitor<N, T> {
    escape: N,
    rest: PhantomData<T>,
}

impl<'de, N, T> Visitor<'de> for EscapedVisitor<N, T>
where
    N: Deserialize<'de> + PartialEq,
    T: Deserialize<'de>,
{
    type Value = (N, Option<T>);

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Self::Value, A::Error> {
        let missing = || A::Error::custom("a number is cut short");
        let number: N = parts.next_element()?.ok_or_else(missing)?;
        let rest = if number == self.escape {
            Some(parts.next_element()?.ok_or_else(missing)?)
        } else {
            None
        };
        Ok((number, rest))
    }
}
