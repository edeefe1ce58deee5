#include "Platform/StoreClient.h"

#include "Platform/StoreCodec.h"

#include <Poco/Net/HTTPResponse.h>
#include <thread>

namespace parsleywing {

using Poco::JSON::Object;
using Poco::Net::HTTPResponse;

namespace {

constexpr int FirstServerError = 500;

/// The service may report a server error after the write was proposed, so the
/// outcome is unknown. Only an error of the request itself means that it had no
/// effect.
Result<std::string> checkStatus(int Status, std::string Body) {
  if (Status == HTTPResponse::HTTP_OK)
    return Body;
  const std::string Message =
      "the store responded with status " + std::to_string(Status);
  if (Status == HTTPResponse::HTTP_NOT_FOUND)
    return failure(ErrorCode::NotFound, Message);
  if (Status >= FirstServerError)
    return failure(ErrorCode::Interrupted, Message);
  return failure(ErrorCode::Refused, Message);
}

template <typename Value, typename Decode>
Result<Value> decodeWith(const Result<Object::Ptr> &Response, Decode Decoder) {
  if (!Response)
    return tl::unexpected(Response.error());
  try {
    return Decoder(**Response);
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
                     "the rate limit of calls to the store is exceeded");
    std::this_thread::sleep_for(Wait);
  }
}

Result<Object::Ptr> StoreClient::call(StoreCall Kind, const std::string &Path,
                                      const std::string &Body) {
  const TimePoint Deadline = this->Time.now() + this->Settings.CallTimeout;
  if (const Result<void> Ready = this->waitForBudget(Kind, Deadline); !Ready)
    return tl::unexpected(Ready.error());
  const Duration Remaining = Deadline - this->Time.now();
  const Result<StoreResponse> Response =
      this->Connection.call({"POST", Path, Body}, Remaining);
  if (!Response)
    return tl::unexpected(Response.error());
  const Result<std::string> ResponseBody =
      checkStatus(Response->Status, Response->Body);
  if (!ResponseBody) {
    this->Connection.close();
    return tl::unexpected(ResponseBody.error());
  }
  return internal::parseMessage(*ResponseBody);
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
      [](const Object &Response) {
        return internal::decodeRange(Response).ReadRevision;
      });
}

Result<TransactionOutcome>
StoreClient::commit(const StoreTransaction &Transaction) {
  return decodeWith<TransactionOutcome>(
      this->call(StoreCall::Transaction, "/v3/kv/txn",
                 internal::encodeTransaction(Transaction)),
      internal::decodeTransactionOutcome);
}

Result<LeaseId> StoreClient::grantLease(std::chrono::seconds Ttl,
                                        LeaseId RequestedId) {
  Object Message;
  Message.set("TTL", std::to_string(Ttl.count()));
  if (RequestedId != 0)
    Message.set("ID", std::to_string(RequestedId));
  return decodeWith<LeaseId>(this->call(StoreCall::LeaseGrant,
                                        "/v3/lease/grant",
                                        internal::stringify(Message)),
                             [](const Object &Response) {
                               return internal::int64Field(Response, "ID");
                             });
}

Result<std::chrono::seconds> StoreClient::keepLeaseAlive(LeaseId Lease) {
  Object Message;
  Message.set("ID", std::to_string(Lease));
  const auto Remaining = decodeWith<std::int64_t>(
      this->call(StoreCall::LeaseKeepAlive, "/v3/lease/keepalive",
                 internal::stringify(Message)),
      [](const Object &Response) {
        const Object::Ptr Inner = Response.getObject("result");
        return Inner ? internal::int64Field(*Inner, "TTL") : std::int64_t{0};
      });
  if (!Remaining)
    return tl::unexpected(Remaining.error());
  if (*Remaining <= 0)
    return failure(ErrorCode::NotFound, "the lease has expired");
  return std::chrono::seconds(*Remaining);
}

Result<void> StoreClient::revokeLease(LeaseId Lease) {
  Object Message;
  Message.set("ID", std::to_string(Lease));
  const auto Response = this->call(StoreCall::LeaseRevoke, "/v3/lease/revoke",
                                   internal::stringify(Message));
  if (!Response)
    return tl::unexpected(Response.error());
  return {};
}

} // namespace parsleywing
