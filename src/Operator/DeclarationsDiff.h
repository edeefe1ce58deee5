#ifndef PARSLEYWING_OPERATOR_DECLARATIONSDIFF_H
#define PARSLEYWING_OPERATOR_DECLARATIONSDIFF_H

#include "Decision/Declarations.h"

#include <string>
#include <vector>

namespace parsleywing {

/// How a section differs between the old and the new file.
enum class ChangeKind { Added, Removed, Altered };

inline constexpr EnumNames<ChangeKind, 3> ChangeKindNames{{
    {ChangeKind::Added, "added"},
    {ChangeKind::Removed, "removed"},
    {ChangeKind::Altered, "altered"},
}};

/// One key of an altered section. A value is empty if its side lacks the key.
struct ValueChange {
  std::string Key;
  std::string Before;
  std::string After;
};

/// The difference between the old and the new file in one section.
struct DeclarationChange {
  ChangeKind Kind;
  /// The section name as in the file: "account kettle".
  std::string Section;
  /// Only for altered sections.
  std::vector<ValueChange> Values;
};

/// Returns the differences between the old and the new declarations, in the
/// order of the canonical text. The generation is not compared.
std::vector<DeclarationChange> compareDeclarations(const Declarations &Before,
                                                   const Declarations &After);

/// Formats a change as one line for an operator: "altered account kettle: share
/// 1 -> 2".
std::string textOf(const DeclarationChange &Change);

} // namespace parsleywing

#endif
