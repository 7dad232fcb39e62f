//! The macro that names test cases.

/// Defines one named test per case; each calls the check with its input.
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
