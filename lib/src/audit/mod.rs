//! The audit trail: who or which rule changed what, when and why.
