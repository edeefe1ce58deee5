#ifndef PARSLEYWING_OPERATOR_DECLARATIONSREADER_H
#define PARSLEYWING_OPERATOR_DECLARATIONSREADER_H

#include "Decision/Declarations.h"
#include "Operator/IniFile.h"

namespace parsleywing {

/// Turns a declarations file into declarations, whole or not at all. Every
/// section, key, value and reference is checked; the first problem is returned
/// as one sentence with its file, line, section and key. The generation is
/// left at zero. Costs time and memory in proportion to the file.
Result<Declarations> readDeclarations(const IniFile &File);

/// The same for a text; `Path` only serves in messages.
Result<Declarations> parseDeclarations(std::string_view Text,
                                       const std::string &Path);

/// The same for a file. `NotFound` where it cannot be read.
Result<Declarations> loadDeclarations(const std::string &Path);

} // namespace parsleywing

#endif
