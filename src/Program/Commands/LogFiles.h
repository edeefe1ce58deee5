#ifndef PARSLEYWING_PROGRAM_COMMANDS_LOGFILES_H
#define PARSLEYWING_PROGRAM_COMMANDS_LOGFILES_H

#include "Runtime/Result.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

namespace parsleywing {

/// The logs, each read line by line as often as is wanted. Standard input can
/// be read only once, so it is kept.
class LogFiles {
public:
  static constexpr const char *StandardInput = "-";

  explicit LogFiles(std::vector<std::string> P) : Paths(std::move(P)) {}

  /// Calls `Look` with the source and the text of every line.
  template <typename Function> Result<void> forEachLine(Function Look) {
    for (const std::string &Path : this->Paths) {
      if (Path == StandardInput) {
        std::istringstream Kept(this->cachedInput());
        forEachLineOf(Kept, Path, Look);
        continue;
      }
      std::ifstream File(Path);
      if (!File)
        return failure(ErrorCode::NotFound, Path + " cannot be opened");
      forEachLineOf(File, Path, Look);
    }
    return {};
  }

private:
  template <typename Function>
  static void forEachLineOf(std::istream &From, const std::string &Path,
                            const Function &Look) {
    std::string Line;
    while (std::getline(From, Line))
      Look(Path, Line);
  }

  const std::string &cachedInput() {
    if (!this->IsInputRead)
      this->Input.assign(std::istreambuf_iterator<char>(std::cin), {});
    this->IsInputRead = true;
    return this->Input;
  }

  std::vector<std::string> Paths;
  std::string Input;
  bool IsInputRead = false;
};

} // namespace parsleywing

#endif
