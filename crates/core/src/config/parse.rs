//! Reading a document's text into its domain type.

use std::sync::Arc;

use displaydoc::Display;

use super::{INDEX_PREFIX, PRESETS_KEY, ROUTES_KEY, SERVER_PREFIX};
use crate::{
    ids::ServiceId,
    index::{IndexDocument, IndexError},
    pool::ServerDocument,
    presets::{PresetDocument, PresetError},
    routes::{RouteDocument, RouteError, RouteTable},
    text::{self, Path, Place, TextCause},
};

/// A document that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Accepted {
    /// The presets.
    Presets(PresetDocument),
    /// The index of a service.
    Index(IndexDocument),
    /// The routes.
    Routes(Arc<RouteTable>),
    /// One backend server.
    Server(Arc<ServerDocument>),
    /// The document of this service or backend server was deleted.
    Withdrawn(Arc<str>),
}

/// Why a document is rejected, and where.
#[derive(Clone, Debug, Display, PartialEq)]
#[displaydoc("{place}: {cause}")]
pub struct DocumentFault {
    /// Where.
    pub place: Place,
    /// What is wrong.
    pub cause: DocumentCause,
    /// How to mend it, when that can be told.
    pub hint: Option<String>,
}

/// Why a document is rejected.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum DocumentCause {
    /// {0}
    Text(TextCause),
    /// {0}
    Presets(PresetError),
    /// {0}
    Index(IndexError),
    /// {0}
    Routes(RouteError),
    /// the key names service {key}, the document service {document}
    OtherService {
        /// The service of the key.
        key: ServiceId,
        /// The service of the document.
        document: ServiceId,
    },
    /// the key {0} names no kind of document
    UnknownKey(String),
    /// the preset document cannot be deleted, since one preset must be in force
    PresetsDeleted,
    /// the route document cannot be deleted; publish one without routes instead
    RoutesDeleted,
}

impl std::error::Error for DocumentFault {}

/// Reads a document; deterministic, so that all processes accept it or all reject it.
///
/// # Errors
/// Returns the first fault, with its line and column.
pub fn parse_document(key: &str, text: Option<&str>) -> Result<Accepted, DocumentFault> {
    if key == PRESETS_KEY {
        let Some(text) = text else {
            return Err(whole(DocumentCause::PresetsDeleted));
        };
        return parse_presets(text).map(Accepted::Presets);
    }
    if key == ROUTES_KEY {
        let Some(text) = text else {
            return Err(whole(DocumentCause::RoutesDeleted));
        };
        let document = parse_routes(text)?;
        return Ok(Accepted::Routes(Arc::new(RouteTable::new(&document))));
    }
    if let Some(server) = key.strip_prefix(SERVER_PREFIX).filter(|s| !s.is_empty()) {
        return match text {
            Some(text) => Ok(Accepted::Server(Arc::new(parse_server(text)?))),
            None => Ok(Accepted::Withdrawn(server.into())),
        };
    }
    let Some(service) = key.strip_prefix(INDEX_PREFIX).filter(|s| !s.is_empty()) else {
        return Err(whole(DocumentCause::UnknownKey(key.to_owned())));
    };
    let Some(text) = text else {
        return Ok(Accepted::Withdrawn(service.into()));
    };
    let index = parse_index(text)?;
    if &*index.service != service {
        return Err(other_service(text, service, &index.service));
    }
    Ok(Accepted::Index(index))
}

/// Reads a preset document.
///
/// # Errors
/// Returns the first fault, with its line and column.
pub fn parse_presets(text: &str) -> Result<PresetDocument, DocumentFault> {
    let document: PresetDocument = text::read(text)?;
    document.validate().map_err(|error| DocumentFault {
        place: text::locate(text, &error.path),
        hint: error.cause.hint().map(str::to_owned),
        cause: DocumentCause::Presets(error),
    })?;
    Ok(document)
}

/// Reads an index document.
///
/// # Errors
/// Returns the first fault, with its line and column.
pub fn parse_index(text: &str) -> Result<IndexDocument, DocumentFault> {
    let document: IndexDocument = text::read(text)?;
    document.validate().map_err(|error| DocumentFault {
        place: text::locate(text, &error.path),
        hint: error.cause.hint().map(str::to_owned),
        cause: DocumentCause::Index(error),
    })?;
    Ok(document)
}

/// Reads a route document.
///
/// # Errors
/// Returns the first fault, with its line and column.
pub fn parse_routes(text: &str) -> Result<RouteDocument, DocumentFault> {
    let document: RouteDocument = text::read(text)?;
    document.validate().map_err(|error| DocumentFault {
        place: text::locate(text, &error.path),
        hint: error.cause.hint().map(str::to_owned),
        cause: DocumentCause::Routes(error),
    })?;
    Ok(document)
}

/// Reads the document of one backend server.
///
/// # Errors
/// Returns the first fault, with its line and column.
pub fn parse_server(text: &str) -> Result<ServerDocument, DocumentFault> {
    Ok(text::read(text)?)
}

impl From<text::Fault> for DocumentFault {
    fn from(fault: text::Fault) -> Self {
        Self {
            place: fault.place,
            cause: DocumentCause::Text(fault.cause),
            hint: fault.hint.map(|hint| hint.to_string()),
        }
    }
}

/// A fault of the document as a whole.
fn whole(cause: DocumentCause) -> DocumentFault {
    let place = Place { line: 1, column: 1 };
    DocumentFault {
        place,
        cause,
        hint: None,
    }
}

fn other_service(text: &str, key: &str, document: &ServiceId) -> DocumentFault {
    DocumentFault {
        place: text::locate(text, &Path::new("service")),
        cause: DocumentCause::OtherService {
            key: key.into(),
            document: ServiceId::clone(document),
        },
        hint: Some(format!("publish the document under index/{document}")),
    }
}
