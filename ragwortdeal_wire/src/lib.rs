//! Types that cross a border of a process, generated from the JSON Schema files in `schema/`.
