//! Macro for table-driven tests, and bytes that earlier builds encoded.
mod recording;

pub use recording::Recording;

/// Defines one test per case, with the name of the case; each test calls the
/// check with the input of its case.
///
/// ```
/// fn is_even(number: u32) {
///     assert_eq!(number % 2, 0);
/// }
///
/// cases::cases! { is_even;
///     zero_is_even: 0,
///     two_is_even: 2,
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path; $($name:ident: $input:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                $check($input);
            }
        )+
    };
}
