#ifndef PARSLEYWING_LAB_SCENARIOREADER_H
#define PARSLEYWING_LAB_SCENARIOREADER_H

#include "Runtime/Result.h"
#include "lab/Load.h"

#include <string>

namespace parsleywing::lab {

/// Reads a scenario from an INI file: a section `scenario`, one `engine`, one
/// `class-NAME` for each class of calls and one `flood-NAME` for each flood.
/// Fails with `InvalidInput`. The message contains the section and key that is
/// missing, unknown or invalid; for an invalid `shared`, it contains only the
/// value.
Result<Scenario> readScenario(const std::string &Path);

} // namespace parsleywing::lab

#endif
