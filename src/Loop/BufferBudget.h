#ifndef PARSLEYWING_LOOP_BUFFERBUDGET_H
#define PARSLEYWING_LOOP_BUFFERBUDGET_H

#include "Runtime/EnumNames.h"
#include "Runtime/HeapBytes.h"

#include <array>
#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace parsleywing {

/// What a buffer is for.
enum class BufferUse {
  ToCaller,     ///< Response bytes that the caller has not accepted.
  ToServer,     ///< Request bytes that the server has not accepted.
  RequestBody,  ///< Input of callers, and bodies of open requests.
  ResponseBody, ///< Response heads, and response bytes that are not complete
                ///< enough to be sent.
};

inline constexpr EnumNames<BufferUse, 4> BufferUseNames{{
    {BufferUse::ToCaller, "to-caller"},
    {BufferUse::ToServer, "to-server"},
    {BufferUse::RequestBody, "request-body"},
    {BufferUse::ResponseBody, "response-body"},
}};

/// A connection that can be ended to free memory.
struct BufferHolder {
  /// Response bytes that the caller has not accepted.
  std::size_t Unread = 0;
  /// All buffered bytes that end with it.
  std::size_t Bytes = 0;
  /// Ends it. Has no effect if it has ended meanwhile.
  std::function<void()> End;
};

/// The memory that the connections of one process hold in buffers, and its
/// limit. Not thread-safe.
class BufferBudget {
public:
  static constexpr std::size_t Unlimited =
      std::numeric_limits<std::size_t>::max();

  explicit BufferBudget(std::size_t L = Unlimited) : Limit(L), WalkAbove(L) {}
  BufferBudget(const BufferBudget &) = delete;
  BufferBudget &operator=(const BufferBudget &) = delete;

  /// Sets the source of the connections that can be ended. It is called only
  /// when the limit is exceeded.
  void setHolders(std::function<std::vector<BufferHolder>()> Source) {
    this->Holders = std::move(Source);
  }

  std::size_t limit() const { return this->Limit; }
  std::size_t held() const { return this->Held; }
  std::size_t held(BufferUse Use) const {
    return this->HeldByUse.at(static_cast<std::size_t>(Use));
  }

  /// Whether further bytes of request bodies may be read. Bodies may take half
  /// of the limit, since each is held a second time while it is sent.
  bool hasRoomForBody(std::size_t Bytes) const;

  /// If the limit is exceeded, ends the connections with the most unread bytes,
  /// and after them those that hold the most, until a reserve is free. Call
  /// before reading more; not from within a request's own callbacks, since that
  /// request may be ended.
  void relieve();

private:
  friend class BufferShare;

  void add(BufferUse Use, std::size_t Bytes);
  void subtract(BufferUse Use, std::size_t Bytes);

  std::size_t Limit;
  std::size_t Held = 0;
  /// `relieve` works above this value only. Above `Limit` after it could not
  /// free enough, so that it does not ask for all connections at each read.
  std::size_t WalkAbove;
  std::array<std::size_t, BufferUseNames.size()> HeldByUse{};
  std::function<std::vector<BufferHolder>()> Holders;
};

/// The part of one buffer in the budget, which must outlive it. Without a
/// budget it counts nothing.
class BufferShare {
public:
  BufferShare() = default;
  BufferShare(BufferBudget &B, BufferUse U) : Budget(&B), Use(U) {}
  BufferShare(BufferShare &&Other) noexcept;
  BufferShare &operator=(BufferShare &&Other) noexcept;
  BufferShare(const BufferShare &) = delete;
  BufferShare &operator=(const BufferShare &) = delete;
  ~BufferShare() { this->set(0); }

  void set(std::size_t NewBytes);

private:
  BufferBudget *Budget = nullptr;
  BufferUse Use = BufferUse::ToCaller;
  std::size_t Bytes = 0;
};

/// Frees the memory of an empty buffer, except for what the next small message
/// needs. Otherwise each connection would keep the memory of its largest one.
void releaseIfEmpty(std::string &Buffer);

} // namespace parsleywing

#endif
