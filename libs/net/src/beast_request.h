#ifndef FILBERTSTAIR_NET_SRC_BEAST_REQUEST_H_
#define FILBERTSTAIR_NET_SRC_BEAST_REQUEST_H_

#include <boost/beast/http/message.hpp>
#include <string>

#include "filbertstair/net/http_server.h"

namespace filbertstair::net::detail {

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
