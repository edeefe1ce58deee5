#include "Platform/StoreClient.h"

#include "Platform/StoreCodec.h"

#include <Poco/Net/HTTPResponse.h>
#include <thread>

namespace parsleywing {

using Poco::JSON::Object;
using Poco::Net::HTTPResponse;

namespace {

constexpr int FirstServerError = 500;

/// A server error may be told after the write was proposed, so it leaves the
/// outcome open; only an error of the request itself rules out an effect.
Result<std::string> judgeStatus(int Status, std::string Answer) {
  if (Status == HTTPResponse::HTTP_OK)
    return Answer;
  const std::string Told = "the store answered " + std::to_string(Status);
  if (Status == HTTPResponse::HTTP_NOT_FOUND)
    return failure(ErrorCode::NotFound, Told);
  if (Status >= FirstServerError)
    return failure(ErrorCode::Interrupted, Told);
  return failure(ErrorCode::Refused, Told);
}

template <typename Value, typename Decode>
Result<Value> decodeWith(const Result<Object::Ptr> &Answer, Decode Decoder) {
  if (!Answer)
    return tl::unexpected(Answer.error());
  try {
    return Decoder(**Answer);
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Malformed, Problem.displayText());
  }
}

} // namespace

StoreClient::StoreClient(StoreSettings S, std::shared_ptr<StoreBudget> B,
                         Clock C)
    : Settings(std::move(S)), Budget(std::move(B)), Time(std::move(C)),
      Connection(this->Settings.Address, this->Settings.MaxIdleTime,
                 this->Time) {}

Result<void> StoreClient::waitForBudget(StoreCall Kind, TimePoint Deadline) {
  while (true) {
    const TimePoint Now = this->Time.now();
    const Duration Wait = this->Budget->tryAcquire(Kind, Now);
    if (Wait == Duration::zero())
      return {};
    if (Now + Wait >= Deadline)
      return failure(ErrorCode::LimitExceeded,
                     "the budget of calls on the store is spent");
    std::this_thread::sleep_for(Wait);
  }
}

Result<Object::Ptr> StoreClient::call(StoreCall Kind, const std::string &Path,
                                      const std::string &Body) {
  const TimePoint Deadline = this->Time.now() + this->Settings.CallTimeout;
  if (const Result<void> Ready = this->waitForBudget(Kind, Deadline); !Ready)
    return tl::unexpected(Ready.error());
  const Duration Left = Deadline - this->Time.now();
  const Result<StoreResponse> Told =
      this->Connection.call({"POST", Path, Body}, Left);
  if (!Told)
    return tl::unexpected(Told.error());
  const Result<std::string> Answer = judgeStatus(Told->Status, Told->Body);
  if (!Answer) {
    this->Connection.close();
    return tl::unexpected(Answer.error());
  }
  return internal::parseMessage(*Answer);
}

Result<StoreRange> StoreClient::get(const std::string &Key) {
  Object Message;
  Message.set("key", internal::toBase64(Key));
  return decodeWith<StoreRange>(this->call(StoreCall::Range, "/v3/kv/range",
                                           internal::stringify(Message)),
                                internal::decodeRange);
}

Result<StoreRange> StoreClient::getPrefix(const std::string &Prefix,
                                          bool KeysOnly) {
  Object Message;
  Message.set("key", internal::toBase64(Prefix));
  Message.set("range_end", internal::toBase64(prefixRangeEnd(Prefix)));
  if (KeysOnly)
    Message.set("keys_only", true);
  return decodeWith<StoreRange>(this->call(StoreCall::Range, "/v3/kv/range",
                                           internal::stringify(Message)),
                                internal::decodeRange);
}

Result<Revision> StoreClient::put(const std::string &Key,
                                  const std::string &Value, LeaseId Lease) {
  Object Message;
  Message.set("key", internal::toBase64(Key));
  Message.set("value", internal::toBase64(Value));
  if (Lease != 0)
    Message.set("lease", std::to_string(Lease));
  return decodeWith<Revision>(
      this->call(StoreCall::Put, "/v3/kv/put", internal::stringify(Message)),
      [](const Object &Answer) {
        return internal::decodeRange(Answer).ReadRevision;
      });
}

Result<TransactionOutcome>
StoreClient::commit(const StoreTransaction &Transaction) {
  return decodeWith<TransactionOutcome>(
      this->call(StoreCall::Transaction, "/v3/kv/txn",
                 internal::encodeTransaction(Transaction)),
      internal::decodeTransactionOutcome);
}

Result<LeaseId> StoreClient::grantLease(std::chrono::seconds Life,
                                        LeaseId Wanted) {
  Object Message;
  Message.set("TTL", std::to_string(Life.count()));
  if (Wanted != 0)
    Message.set("ID", std::to_string(Wanted));
  return decodeWith<LeaseId>(
      this->call(StoreCall::LeaseGrant, "/v3/lease/grant",
                 internal::stringify(Message)),
      [](const Object &Answer) { return internal::int64Field(Answer, "ID"); });
}

Result<std::chrono::seconds> StoreClient::keepLeaseAlive(LeaseId Lease) {
  Object Message;
  Message.set("ID", std::to_string(Lease));
  const auto Left = decodeWith<std::int64_t>(
      this->call(StoreCall::LeaseKeepAlive, "/v3/lease/keepalive",
                 internal::stringify(Message)),
      [](const Object &Answer) {
        const Object::Ptr Inner = Answer.getObject("result");
        return Inner ? internal::int64Field(*Inner, "TTL") : std::int64_t{0};
      });
  if (!Left)
    return tl::unexpected(Left.error());
  if (*Left <= 0)
    return failure(ErrorCode::NotFound, "the lease has lapsed");
  return std::chrono::seconds(*Left);
}

Result<void> StoreClient::revokeLease(LeaseId Lease) {
  Object Message;
  Message.set("ID", std::to_string(Lease));
  const auto Answer = this->call(StoreCall::LeaseRevoke, "/v3/lease/revoke",
                                 internal::stringify(Message));
  if (!Answer)
    return tl::unexpected(Answer.error());
  return {};
}

} // namespace parsleywing
