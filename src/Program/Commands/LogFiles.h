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

/// Log files that can be read line by line several times. Standard input can be
/// read only once, so its text is cached.
class LogFiles {
public:
  static constexpr const char *StandardInput = "-";

  explicit LogFiles(std::vector<std::string> P) : Paths(std::move(P)) {}

  /// Calls `Visit` with the source and the text of every line.
  template <typename Function> Result<void> forEachLine(Function Visit) {
    for (const std::string &Path : this->Paths) {
      if (Path == StandardInput) {
        std::istringstream Cached(this->cachedInput());
        forEachLineOf(Cached, Path, Visit);
        continue;
      }
      std::ifstream File(Path);
      if (!File)
        return failure(ErrorCode::NotFound, Path + " cannot be opened");
      forEachLineOf(File, Path, Visit);
    }
    return {};
  }

private:
  template <typename Function>
  static void forEachLineOf(std::istream &From, const std::string &Path,
                            const Function &Visit) {
    std::string Line;
    while (std::getline(From, Line))
      Visit(Path, Line);
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
