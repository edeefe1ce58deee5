#ifndef PARSLEYWING_OPERATOR_DECLARATIONSREADER_H
#define PARSLEYWING_OPERATOR_DECLARATIONSREADER_H

#include "Decision/Declarations.h"
#include "Operator/IniFile.h"

namespace parsleywing {

/// Turns a declarations file into declarations, whole or not at all. Every
/// section and key is checked; the first problem is returned as one sentence
/// with its place. The generation is left at zero.
Result<Declarations> readDeclarations(const IniFile &File);

} // namespace parsleywing

#endif
