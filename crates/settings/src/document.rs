//! Parsing of JSON documents with comments.

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value as Node},
    common::Ranged as _,
    parse_to_ast, parse_to_serde_value,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{Problem, Schema};

/// Parsed JSON document with comments, which can locate the line of each value.
pub struct Document<'a> {
    text: &'a str,
    root: Node<'a>,
    value: Value,
}

impl<'a> Document<'a> {
    /// Parses a document; comments and trailing commas are allowed.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error, or every duplicate key.
    pub fn parse(text: &'a str) -> Result<Self, Vec<Problem>> {
        let options = ParseOptions {
            allow_comments: true,
            allow_trailing_commas: true,
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
        };
        let syntax_error = |error: jsonc_parser::errors::ParseError| {
            let message = error.kind().to_string();
            vec![Problem::new(error.line_display(), "", &message)]
        };
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &options).map_err(syntax_error)?;
        let Some(root) = parsed.value else {
            return Err(vec![Problem::new(1, "", "the document is empty")]);
        };
        let value = parse_to_serde_value(text, &options).map_err(syntax_error)?;
        let document = Self { text, root, value };
        let mut problems = Vec::new();
        document.find_duplicate_keys(&document.root, &mut problems);
        if problems.is_empty() {
            Ok(document)
        } else {
            Err(problems)
        }
    }

    /// Returns the content as untyped JSON.
    #[must_use]
    pub const fn value(&self) -> &Value {
        &self.value
    }

    /// Returns the line of the value at a path such as `classes[0].tier`, or that of the closest
    /// ancestor if the path does not exist.
    #[must_use]
    pub fn line_of(&self, path: &str) -> usize {
        let mut node = &self.root;
        let mut start = node.start();
        for part in path.split(['.', '[']).filter(|part| !part.is_empty()) {
            let next = match (node, part.strip_suffix(']')) {
                (Node::Array(array), Some(index)) => index
                    .parse()
                    .ok()
                    .and_then(|index: usize| array.elements.get(index))
                    .map(|element| (element.start(), element)),
                (Node::Object(object), None) => {
                    object.get(part).map(|prop| (prop.start(), &prop.value))
                }
                _ => None,
            };
            let Some((found, inner)) = next else { break };
            start = found;
            node = inner;
        }
        self.line_at(start)
    }

    /// Sets the line of each problem from its path, and sorts the problems by line.
    #[must_use]
    pub fn locate(&self, mut problems: Vec<Problem>) -> Vec<Problem> {
        for problem in &mut problems {
            problem.line = self.line_of(&problem.path);
        }
        problems.sort_by(|a, b| (a.line, &a.path).cmp(&(b.line, &b.path)));
        problems
    }

    /// Checks the content against a schema and further rules, then deserializes it.
    ///
    /// # Errors
    ///
    /// Returns every error with its line.
    pub fn read<T, F>(&self, schema: &Schema, rules: F) -> Result<T, Vec<Problem>>
    where
        T: DeserializeOwned,
        F: FnOnce(&Value, &mut Vec<Problem>),
    {
        let mut problems = Vec::new();
        schema.check(&self.value, "", &mut problems);
        rules(&self.value, &mut problems);
        if problems.is_empty() {
            return T::deserialize(&self.value)
                .map_err(|error| vec![Problem::new(1, "", &error.to_string())]);
        }
        Err(self.locate(problems))
    }

    /// Appends a problem for every key that an object has more than once.
    fn find_duplicate_keys(&self, node: &Node<'_>, problems: &mut Vec<Problem>) {
        match node {
            Node::Array(array) => {
                for element in &array.elements {
                    self.find_duplicate_keys(element, problems);
                }
            }
            Node::Object(Object { properties, .. }) => {
                for (index, property) in properties.iter().enumerate() {
                    let name = property.name.as_str();
                    let mut earlier = properties[..index].iter();
                    if let Some(first) = earlier.find(|earlier| earlier.name.as_str() == name) {
                        let first = self.line_at(first.start());
                        let message = format!("key is already given on line {first}");
                        problems.push(Problem::new(self.line_at(property.start()), name, &message));
                    }
                    self.find_duplicate_keys(&property.value, problems);
                }
            }
            _ => {}
        }
    }

    /// Returns the line of a byte offset, counted from 1.
    fn line_at(&self, offset: usize) -> usize {
        1 + self.text[..offset].matches('\n').count()
    }
}
