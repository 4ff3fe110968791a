//! Parsing of configuration documents into their domain types.

use std::sync::Arc;

use displaydoc::Display;

use super::{EVACUATION_PREFIX, INDEX_PREFIX, PRESETS_KEY, ROUTES_KEY, SERVER_PREFIX};
use crate::{
    evacuation::EvacuationDocument,
    ids::ServiceId,
    index::{IndexDocument, IndexError},
    jsonc::{self, JsoncCause, Path, Position},
    pool::ServerDocument,
    presets::{PresetDocument, PresetError},
    routes::{RouteDocument, RouteError, RouteTable},
};

/// A document that was accepted, by kind.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedDocument {
    /// The presets.
    Presets(PresetDocument),
    /// The index of a service.
    Index(IndexDocument),
    /// The routes.
    Routes(Arc<RouteTable>),
    /// One backend server.
    Server(Arc<ServerDocument>),
    /// The evacuation of one data centre.
    Evacuation(EvacuationDocument),
    /// The document of the named service, backend server or data centre was deleted.
    Withdrawn(Arc<str>),
}

/// The reason why a document is rejected, and its position in the text.
#[derive(Clone, Debug, Display, PartialEq)]
#[displaydoc("{position}: {cause}")]
pub struct DocumentError {
    /// The position of the error.
    pub position: Position,
    /// The reason for the rejection.
    pub cause: DocumentCause,
    /// A hint on how to correct the document, if there is one.
    pub hint: Option<String>,
}

/// The reason why a document is rejected. The comment of each variant is its message.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum DocumentCause {
    /// {0}
    Jsonc(JsoncCause),
    /// {0}
    Presets(PresetError),
    /// {0}
    Index(IndexError),
    /// {0}
    Routes(RouteError),
    /// the key names service {key}, the document service {document}
    ServiceMismatch {
        /// The service named by the key.
        key: ServiceId,
        /// The service named by the document.
        document: ServiceId,
    },
    /// the key {0} names no kind of document
    UnknownKey(String),
    /// the preset document cannot be deleted, since one preset must be in force
    PresetsDeleted,
    /// the route document cannot be deleted; publish one without routes instead
    RoutesDeleted,
}

impl std::error::Error for DocumentError {}

/// Parses a document; `text` is `None` if it was deleted.
///
/// The result depends on the arguments alone, so either all processes accept a document or all
/// reject it.
///
/// # Errors
/// Returns the first error, with its line and column.
pub fn parse_document(key: &str, text: Option<&str>) -> Result<ParsedDocument, DocumentError> {
    if key == PRESETS_KEY {
        let Some(text) = text else {
            return Err(whole_document(DocumentCause::PresetsDeleted));
        };
        return parse_presets(text).map(ParsedDocument::Presets);
    }
    if key == ROUTES_KEY {
        let Some(text) = text else {
            return Err(whole_document(DocumentCause::RoutesDeleted));
        };
        let document = parse_routes(text)?;
        return Ok(ParsedDocument::Routes(Arc::new(RouteTable::new(&document))));
    }
    if let Some(server) = key.strip_prefix(SERVER_PREFIX).filter(|s| !s.is_empty()) {
        return match text {
            Some(text) => Ok(ParsedDocument::Server(Arc::new(parse_server(text)?))),
            None => Ok(ParsedDocument::Withdrawn(server.into())),
        };
    }
    if let Some(centre) = key
        .strip_prefix(EVACUATION_PREFIX)
        .filter(|c| !c.is_empty())
    {
        return match text {
            Some(text) => Ok(ParsedDocument::Evacuation(parse_evacuation(text)?)),
            None => Ok(ParsedDocument::Withdrawn(centre.into())),
        };
    }
    let Some(service) = key.strip_prefix(INDEX_PREFIX).filter(|s| !s.is_empty()) else {
        return Err(whole_document(DocumentCause::UnknownKey(key.to_owned())));
    };
    let Some(text) = text else {
        return Ok(ParsedDocument::Withdrawn(service.into()));
    };
    let index = parse_index(text)?;
    if &*index.service != service {
        return Err(service_mismatch(text, service, &index.service));
    }
    Ok(ParsedDocument::Index(index))
}

/// Parses a preset document.
///
/// # Errors
/// Returns the first error, with its line and column.
pub fn parse_presets(text: &str) -> Result<PresetDocument, DocumentError> {
    let document: PresetDocument = jsonc::parse(text)?;
    document.validate().map_err(|error| DocumentError {
        position: jsonc::locate(text, &error.path),
        hint: error.cause.hint().map(str::to_owned),
        cause: DocumentCause::Presets(error),
    })?;
    Ok(document)
}

/// Parses an index document.
///
/// # Errors
/// Returns the first error, with its line and column.
pub fn parse_index(text: &str) -> Result<IndexDocument, DocumentError> {
    let document: IndexDocument = jsonc::parse(text)?;
    document.validate().map_err(|error| DocumentError {
        position: jsonc::locate(text, &error.path),
        hint: error.cause.hint().map(str::to_owned),
        cause: DocumentCause::Index(error),
    })?;
    Ok(document)
}

/// Parses a route document.
///
/// # Errors
/// Returns the first error, with its line and column.
pub fn parse_routes(text: &str) -> Result<RouteDocument, DocumentError> {
    let document: RouteDocument = jsonc::parse(text)?;
    document.validate().map_err(|error| DocumentError {
        position: jsonc::locate(text, &error.path),
        hint: error.cause.hint().map(str::to_owned),
        cause: DocumentCause::Routes(error),
    })?;
    Ok(document)
}

/// Parses the document of one backend server.
///
/// # Errors
/// Returns the first error, with its line and column.
pub fn parse_server(text: &str) -> Result<ServerDocument, DocumentError> {
    Ok(jsonc::parse(text)?)
}

/// Parses the document of one evacuation.
///
/// # Errors
/// Returns the first error, with its line and column.
pub fn parse_evacuation(text: &str) -> Result<EvacuationDocument, DocumentError> {
    Ok(jsonc::parse(text)?)
}

impl From<jsonc::JsoncError> for DocumentError {
    fn from(error: jsonc::JsoncError) -> Self {
        Self {
            position: error.position,
            cause: DocumentCause::Jsonc(error.cause),
            hint: error.hint.map(|hint| hint.to_string()),
        }
    }
}

/// Returns an error that concerns the document as a whole.
fn whole_document(cause: DocumentCause) -> DocumentError {
    let position = Position { line: 1, column: 1 };
    DocumentError {
        position,
        cause,
        hint: None,
    }
}

/// Returns the error for an index document that names another service than its key.
fn service_mismatch(text: &str, key: &str, document: &ServiceId) -> DocumentError {
    DocumentError {
        position: jsonc::locate(text, &Path::new("service")),
        cause: DocumentCause::ServiceMismatch {
            key: key.into(),
            document: ServiceId::clone(document),
        },
        hint: Some(format!("publish the document under index/{document}")),
    }
}
