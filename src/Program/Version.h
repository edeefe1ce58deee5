#ifndef PARSLEYWING_PROGRAM_VERSION_H
#define PARSLEYWING_PROGRAM_VERSION_H

namespace parsleywing {

/// The version of the program; must equal the project's in CMakeLists.txt.
inline constexpr const char *Version = "0.1.0";

} // namespace parsleywing

#endif
