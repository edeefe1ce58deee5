#ifndef PARSLEYWING_OPERATOR_DECLARATIONSDIFF_H
#define PARSLEYWING_OPERATOR_DECLARATIONSDIFF_H

#include "Decision/Declarations.h"

#include <string>
#include <vector>

namespace parsleywing {

/// Whether a section is only in the new file, only in the old one, or differs.
enum class ChangeKind { Added, Removed, Altered };

inline constexpr EnumNames<ChangeKind, 3> ChangeKindNames{{
    {ChangeKind::Added, "added"},
    {ChangeKind::Removed, "removed"},
    {ChangeKind::Altered, "altered"},
}};

/// One key of an altered section; a side that lacks the key is empty.
struct ValueChange {
  std::string Key;
  std::string Before;
  std::string After;
};

/// What a new file does to one section.
struct DeclarationChange {
  ChangeKind Kind;
  /// As in the file: "account kettle".
  std::string Section;
  /// Only for altered sections.
  std::vector<ValueChange> Values;
};

/// What distinguishes the new declarations from the old ones, in the order of
/// the canonical text. The generation does not count.
std::vector<DeclarationChange> compareDeclarations(const Declarations &Before,
                                                   const Declarations &After);

/// One line for an operator: "altered account kettle: share 1 -> 2".
std::string textOf(const DeclarationChange &Change);

} // namespace parsleywing

#endif
