//! Agent on each target VM: admits requests, orders its engine, drains.
