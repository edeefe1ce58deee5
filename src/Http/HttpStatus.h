#ifndef PARSLEYWING_HTTP_HTTPSTATUS_H
#define PARSLEYWING_HTTP_HTTPSTATUS_H

namespace parsleywing {

// The status codes that the program sends or handles specially (RFC 9110, 15).
inline constexpr int HttpOk = 200;
/// One past the last success status (2xx).
inline constexpr int HttpSuccessEnd = 300;
inline constexpr int HttpBadRequest = 400;
inline constexpr int HttpUnauthorized = 401;
inline constexpr int HttpNotFound = 404;
inline constexpr int HttpRequestTimeout = 408;
inline constexpr int HttpGone = 410;
inline constexpr int HttpPreconditionFailed = 412;
inline constexpr int HttpContentTooLarge = 413;
inline constexpr int HttpMisdirectedRequest = 421;
inline constexpr int HttpTooManyRequests = 429;
inline constexpr int HttpHeaderFieldsTooLarge = 431;
inline constexpr int HttpBadGateway = 502;
inline constexpr int HttpServiceUnavailable = 503;
inline constexpr int HttpGatewayTimeout = 504;

} // namespace parsleywing

#endif
