// The HTTP status codes used in this project (RFC 9110).
#pragma once

namespace Onyxnotch::HttpStatus {

constexpr int ok = 200;
constexpr int noContent = 204;
constexpr int seeOther = 303;
constexpr int notModified = 304;
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int requestTimeout = 408;
constexpr int conflict = 409;
constexpr int preconditionFailed = 412;
constexpr int bodyTooLarge = 413;
constexpr int rangeNotSatisfiable = 416;
constexpr int misdirected = 421;
constexpr int preconditionRequired = 428;
constexpr int tooManyRequests = 429;
constexpr int headTooLarge = 431;
constexpr int badGateway = 502;
constexpr int serviceUnavailable = 503;
constexpr int gatewayTimeout = 504;

// True for the numbers that a response can have as its status (RFC 9110, section 15).
constexpr bool isStatusCode(int number)
{
    constexpr int lowest = 100;
    constexpr int highest = 599;
    return number >= lowest && number <= highest;
}

// True for status codes by which onyxnotch guarantees its clients that a request has not been and will not be executed.
constexpr bool guaranteesNotExecuted(int status)
{
    return status == requestTimeout || status == misdirected || status == tooManyRequests || status == serviceUnavailable;
}

// True for status codes of responses that have no body, whatever their header fields say (RFC 9112, section 6.3).
constexpr bool allowsNoBody(int status) { return status / 100 == 1 || status == noContent || status == notModified; }

// True for status codes by which an endpoint refuses a request because of its own state, not because of the content of the request.
constexpr bool isRefusalStatus(int status) { return status == tooManyRequests || status == serviceUnavailable; }

} // namespace Onyxnotch::HttpStatus
