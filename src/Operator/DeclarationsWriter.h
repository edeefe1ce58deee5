#ifndef PARSLEYWING_OPERATOR_DECLARATIONSWRITER_H
#define PARSLEYWING_OPERATOR_DECLARATIONSWRITER_H

#include "Decision/Declarations.h"
#include "Operator/IniFile.h"

#include <string>
#include <vector>

namespace parsleywing {

/// Converts declarations to sections with all their keys, in canonical order:
/// accounts, services, servers, and by name within each kind. Equal
/// declarations give equal sections.
std::vector<IniSection> sectionsOf(const Declarations &All);

/// Formats declarations as a file that `readDeclarations` parses back to the
/// same declarations. Equal declarations give equal texts. The generation is
/// not part of the text.
std::string writeDeclarations(const Declarations &All);

} // namespace parsleywing

#endif
