#ifndef PARSLEYWING_LAB_SCENARIOREADER_H
#define PARSLEYWING_LAB_SCENARIOREADER_H

#include "Runtime/Result.h"
#include "lab/Load.h"

#include <string>

namespace parsleywing::lab {

/// Reads a scenario from an INI file: a section `scenario`, one `engine`, one
/// `class-NAME` for each kind of request and one `flood-NAME` for each flood.
/// `InvalidInput` names the section and key that is missing, unknown or no
/// number.
Result<Scenario> readScenario(const std::string &Path);

} // namespace parsleywing::lab

#endif
