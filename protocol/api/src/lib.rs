//! Remote procedure calls of the operator interface.
//!
//! The types, the client and the server are generated from
//! `proto/operator.proto`, which documents each field.
pub mod operator {
    //! Version 1 of the operator interface.
    #![allow(missing_docs, clippy::pedantic)]
    include!("gen/greengagelug.operator.v1.rs");
}
