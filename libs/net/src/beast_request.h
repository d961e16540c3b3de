#ifndef FILBERTSTAIR_NET_SRC_BEAST_REQUEST_H_
#define FILBERTSTAIR_NET_SRC_BEAST_REQUEST_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/verb.hpp>
#include <iterator>
#include <string>

#include "filbertstair/net/http_server.h"
#include "request_rules.h"

namespace filbertstair::net::detail {

// Returns whether the message has no transfer coding, or only the one that is decoded here. A body
// in another coding has no end that a reader of this message and the next one would agree on (RFC
// 9112, section 6.1).
template <typename Fields>
auto HasKnownCoding(const Fields& fields) -> bool {
  const auto codings = fields.equal_range(boost::beast::http::field::transfer_encoding);
  if (codings.first == codings.second) return true;
  return std::next(codings.first) == codings.second &&
         boost::beast::iequals(codings.first->value(), "chunked");
}

// Returns whether the request names its host exactly once, as HTTP/1.1 requires. An HTTP/1.0
// request may leave it out.
template <typename Fields>
auto HasValidHost(const boost::beast::http::request_header<Fields>& header) -> bool {
  const auto hosts = header.equal_range(boost::beast::http::field::host);
  if (hosts.first == hosts.second) return header.version() < 11;
  return std::next(hosts.first) == hosts.second && IsValidHost(hosts.first->value());
}

// Returns whether the request's framing, host and target follow the standard. HTTP/1.0 has no
// transfer codings: a reader of that version would take the body for the next request.
template <typename Fields>
auto IsValidHead(const boost::beast::http::request_header<Fields>& header) -> bool {
  const bool has_coding = header.count(boost::beast::http::field::transfer_encoding) > 0;
  return HasKnownCoding(header) && !(has_coding && header.version() < 11) && HasValidHost(header) &&
         IsValidTarget(header.method_string(), header.target());
}

// Returns whether requests with the method are served. A TRACE has no body and is answered with the
// request itself, credentials included; a CONNECT asks for a tunnel.
inline auto IsServed(boost::beast::http::verb method) -> bool {
  return method != boost::beast::http::verb::trace && method != boost::beast::http::verb::connect;
}

// Returns the request without its body.
template <typename Fields>
auto ToHead(const boost::beast::http::request_header<Fields>& header, const std::string& peer)
    -> HttpRequest {
  HttpRequest request;
  request.method = std::string(header.method_string());
  request.target = std::string(header.target());
  for (const auto& field : header) {
    request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  request.peer = peer;
  return request;
}

}  // namespace filbertstair::net::detail

#endif  // FILBERTSTAIR_NET_SRC_BEAST_REQUEST_H_
