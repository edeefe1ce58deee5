#include "standin/EngineStreamWriter.h"

#include "standin/HandlerTools.h"

#include <ostream>

namespace parsleywing::standin {

namespace {

constexpr std::size_t OversizedBytes = 4 << 20;

void appendEvent(const std::string &Data, std::string &Batch) {
  // The type is the first field: {"type":"...".
  constexpr std::size_t TypeStart = 9;
  const std::size_t TypeEnd = Data.find('"', TypeStart);
  Batch += "event: ";
  Batch.append(Data, TypeStart, TypeEnd - TypeStart);
  Batch += "\ndata: ";
  Batch += Data;
  Batch += "\n\n";
}

/// The same event under the id of another response.
std::string ofAnotherResponse(std::string Data) {
  const std::size_t Place = Data.find("msg_resp_");
  if (Place != std::string::npos)
    Data.insert(Place + 9, "9");
  return Data;
}

} // namespace

void EngineStreamWriter::write(Poco::Net::HTTPServerRequest &Request,
                               Poco::Net::HTTPServerResponse &Answer,
                               std::size_t Start) {
  Answer.setContentType("text/event-stream");
  Answer.setChunkedTransferEncoding(true);
  std::ostream &Out = Answer.send();
  std::size_t Next = Start;
  while (true) {
    const auto Events = this->Engine.takeEvents(*this->Response, Next);
    if (Events.empty())
      break;
    if (this->silent()) {
      this->Engine.waitWhile([&] { return peerIsThere(Request); });
      cutConnection(Request, Answer);
      return;
    }
    if (!this->writeEvents(Events, Out)) {
      cutConnection(Request, Answer);
      break;
    }
    Next += Events.size();
  }
  if (!this->Response->Background)
    this->Engine.cancel(this->Response);
}

bool EngineStreamWriter::silent() {
  return this->isDue(this->Faults.SilentAfter) ||
         this->Engine.isSilenced(this->Cookie);
}

bool EngineStreamWriter::isDue(std::uint64_t After) const {
  return After != 0 && this->Tokens >= After;
}

/// Writes all that is there in one piece. Faults that come after a number of
/// tokens need the events one by one.
bool EngineStreamWriter::writeEvents(const std::vector<std::string> &Events,
                                     std::ostream &Out) {
  std::string Batch;
  bool Goes = true;
  for (const std::string &Data : Events) {
    Goes = this->writeEvent(Data, Batch);
    if (!Goes || this->isDue(this->Faults.SilentAfter))
      break;
  }
  Out << Batch;
  Out.flush();
  return Goes && Out.good();
}

bool EngineStreamWriter::writeEvent(const std::string &Data,
                                    std::string &Batch) {
  const bool IsToken = Data.find("output_text.delta") != std::string::npos;
  if (IsToken && this->isDue(this->Faults.CutAfter))
    return false;
  if (IsToken && this->isDue(this->Faults.TruncateAfter)) {
    std::string Whole;
    appendEvent(Data, Whole);
    Batch.append(Whole, 0, Whole.size() / 2);
    return false;
  }
  if (IsToken && this->isDue(this->Faults.OversizedAfter))
    Batch += "data: " + std::string(OversizedBytes, 'x');
  if (IsToken && this->isDue(this->Faults.MalformedAfter))
    Batch += "data: {\"type\":\"response.output_text.delta\",\"delta\n\n";
  const bool Skips = IsToken && this->Faults.SkipAfter != 0 &&
                     this->Tokens == this->Faults.SkipAfter;
  if (IsToken)
    ++this->Tokens;
  if (Skips)
    return true;
  const bool Crossed = IsToken && this->Faults.CrossedAfter != 0 &&
                       this->Tokens == this->Faults.CrossedAfter + 1;
  appendEvent(Crossed ? ofAnotherResponse(Data) : Data, Batch);
  if (this->Faults.Doubled)
    appendEvent(Data, Batch);
  return true;
}

} // namespace parsleywing::standin
