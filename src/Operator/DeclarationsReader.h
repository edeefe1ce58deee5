#ifndef PARSLEYWING_OPERATOR_DECLARATIONSREADER_H
#define PARSLEYWING_OPERATOR_DECLARATIONSREADER_H

#include "Decision/Configuration/ConfigurationText.h"
#include "Decision/Declarations.h"
#include "Operator/IniFile.h"

#include <optional>

namespace parsleywing {

/// Parses a declarations file. Every section, key, value and reference is
/// checked; on failure nothing is returned but the first problem, as one
/// sentence with its file, line, section and key. The generation is left at
/// zero. Time and memory are linear in the size of the file.
Result<Declarations> readDeclarations(const IniFile &File);

/// Parses declarations from a text. `Path` is used in error messages only.
Result<Declarations> parseDeclarations(std::string_view Text,
                                       const std::string &Path);

/// The client accounts that a change removes, and those that it adds or
/// replaces.
struct AccountChanges {
  std::vector<AccountId> Removed;
  std::map<AccountId, AccountDeclaration> Set;
};

/// Computes the effect of `Changes` on valid declarations at the cost of the
/// changed sections alone. Returns nothing if the change concerns anything but
/// accounts or may be invalid in any way; the caller must then parse the
/// complete text, which also yields the error message. The caller must check
/// that no two accounts share a key.
std::optional<AccountChanges>
readAccountChanges(const Declarations &Before,
                   const ConfigurationDelta &Changes);

/// Reads and parses a declarations file. Fails with `NotFound` if the file
/// cannot be read.
Result<Declarations> loadDeclarations(const std::string &Path);

} // namespace parsleywing

#endif
