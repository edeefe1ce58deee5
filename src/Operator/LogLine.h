#ifndef PARSLEYWING_OPERATOR_LOGLINE_H
#define PARSLEYWING_OPERATOR_LOGLINE_H

#include "Runtime/Clock.h"

#include <string>
#include <string_view>

namespace parsleywing {

// Parts of a router's log line: a time, and words of the form NAME=VALUE.

/// Whether a whole word of the line is this one.
bool hasLogWord(std::string_view Text, std::string_view Word);

/// The word that begins so; empty where there is none.
std::string logWord(std::string_view Text, std::string_view Start);

/// The value of the word NAME=VALUE; empty where there is none.
std::string logValue(std::string_view Text, std::string_view Name);

/// The time at the start of a log line, as text; empty where there is none. A
/// log collector may have put words of its own before it.
std::string_view logTimeOf(std::string_view Text);

/// A log line's time moved by some milliseconds.
std::string movedLogTime(const std::string &Time, Duration By);

} // namespace parsleywing

#endif
