#ifndef PARSLEYWING_LAB_SCENARIOREADER_H
#define PARSLEYWING_LAB_SCENARIOREADER_H

#include "Runtime/Result.h"
#include "lab/Load.h"

#include <string>

namespace parsleywing::lab {

/// Reads a scenario from an INI file: a section `scenario`, one `engine`, one
/// `class-NAME` for each class of requests and one `flood-NAME` for each flood.
/// Fails with `InvalidInput` and a message that contains the section and key
/// that is missing, unknown or not a number.
Result<Scenario> readScenario(const std::string &Path);

} // namespace parsleywing::lab

#endif
