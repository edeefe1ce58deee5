#ifndef PARSLEYWING_OPERATOR_DECLARATIONSREADER_H
#define PARSLEYWING_OPERATOR_DECLARATIONSREADER_H

#include "Decision/Configuration/ConfigurationText.h"
#include "Decision/Declarations.h"
#include "Operator/IniFile.h"

#include <optional>

namespace parsleywing {

/// Turns a declarations file into declarations, whole or not at all. Every
/// section, key, value and reference is checked; the first problem is returned
/// as one sentence with its file, line, section and key. The generation is
/// left at zero. Costs time and memory in proportion to the file.
Result<Declarations> readDeclarations(const IniFile &File);

/// The same for a text; `Path` only serves in messages.
Result<Declarations> parseDeclarations(std::string_view Text,
                                       const std::string &Path);

/// The client accounts that a change removes, and those that it adds or
/// replaces.
struct AccountChanges {
  std::vector<AccountId> Removed;
  std::map<AccountId, AccountDeclaration> Set;
};

/// Reads what `Changes` does to valid declarations, at the cost of the changed
/// sections alone. Nothing where it concerns more than accounts, or may be
/// wrong in any way: the whole text must be read then, which also finds words
/// for the fault. That no two accounts have one key is left to the caller.
std::optional<AccountChanges>
readAccountChanges(const Declarations &Before,
                   const ConfigurationDelta &Changes);

/// `parseDeclarations` of a file. `NotFound` where it cannot be read.
Result<Declarations> loadDeclarations(const std::string &Path);

} // namespace parsleywing

#endif
