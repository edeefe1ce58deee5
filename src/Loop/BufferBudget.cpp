#include "Loop/BufferBudget.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// The part of the limit that is free after `relieve`, so that the next writes
/// do not exceed it again.
constexpr std::size_t ReserveDivisor = 8;

/// If `relieve` cannot free enough, it tries again after a growth by this part
/// of the limit.
constexpr std::size_t GrowthDivisor = 16;

/// Fewer unread bytes are no sign that a caller reads slowly.
constexpr std::size_t MinUnread = 4096;

/// Memory that an empty buffer keeps: an event of a stream. 1,500 idle callers
/// keep 1.5 MB.
constexpr std::size_t KeptCapacity = 1024;

} // namespace

bool BufferBudget::hasRoomForBody(std::size_t Bytes) const {
  const std::size_t Room = this->Limit / 2;
  const std::size_t Used = this->held(BufferUse::RequestBody);
  return Used <= Room && Bytes <= Room - Used;
}

void BufferBudget::relieve() {
  if (this->Held <= this->WalkAbove || !this->Holders)
    return;
  std::vector<BufferHolder> Found = this->Holders();
  const auto Rank = [](const BufferHolder &Holder) {
    return std::pair(Holder.Unread < MinUnread ? 0 : Holder.Unread,
                     Holder.Bytes);
  };
  std::sort(Found.begin(), Found.end(),
            [&Rank](const BufferHolder &Left, const BufferHolder &Right) {
              return Rank(Left) > Rank(Right);
            });
  const std::size_t Target = this->Limit - this->Limit / ReserveDivisor;
  for (const BufferHolder &Each : Found) {
    if (this->Held <= Target || Each.Bytes == 0)
      break;
    Each.End();
  }
  this->WalkAbove = this->Held <= this->Limit
                        ? this->Limit
                        : this->Held + this->Limit / GrowthDivisor;
}

void BufferBudget::add(BufferUse Use, std::size_t Bytes) {
  this->Held += Bytes;
  this->HeldByUse.at(static_cast<std::size_t>(Use)) += Bytes;
}

void BufferBudget::subtract(BufferUse Use, std::size_t Bytes) {
  this->Held -= Bytes;
  this->HeldByUse.at(static_cast<std::size_t>(Use)) -= Bytes;
  if (this->Held <= this->Limit)
    this->WalkAbove = this->Limit;
}

BufferShare::BufferShare(BufferShare &&Other) noexcept
    : Budget(Other.Budget), Use(Other.Use),
      Bytes(std::exchange(Other.Bytes, 0)) {}

BufferShare &BufferShare::operator=(BufferShare &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->set(0);
  this->Budget = Other.Budget;
  this->Use = Other.Use;
  this->Bytes = std::exchange(Other.Bytes, 0);
  return *this;
}

void BufferShare::set(std::size_t NewBytes) {
  if (this->Budget == nullptr || NewBytes == this->Bytes)
    return;
  if (NewBytes > this->Bytes)
    this->Budget->add(this->Use, NewBytes - this->Bytes);
  else
    this->Budget->subtract(this->Use, this->Bytes - NewBytes);
  this->Bytes = NewBytes;
}

void releaseIfEmpty(std::string &Buffer) {
  if (Buffer.empty() && Buffer.capacity() > KeptCapacity)
    std::string().swap(Buffer);
}

} // namespace parsleywing
