#ifndef PARSLEYWING_OPERATOR_DECLARATIONSWRITER_H
#define PARSLEYWING_OPERATOR_DECLARATIONSWRITER_H

#include "Decision/Declarations.h"
#include "Operator/IniFile.h"

#include <string>
#include <vector>

namespace parsleywing {

/// Every section of the declarations with all its keys, in one order: kinds in
/// the order account, service, server, names in alphabetical order within a
/// kind. Equal declarations give equal sections.
std::vector<IniSection> sectionsOf(const Declarations &All);

/// The declarations as a file that `readDeclarations` turns back into the same
/// declarations. Equal declarations give equal texts. The generation is not
/// part of the text.
std::string writeDeclarations(const Declarations &All);

} // namespace parsleywing

#endif
