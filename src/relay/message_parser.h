#ifndef ENDIVEYARD_SRC_RELAY_MESSAGE_PARSER_H_
#define ENDIVEYARD_SRC_RELAY_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "endiveyard/relay/wire_protocol.h"

namespace endiveyard {

// An HTTP/1 message as far as it was parsed.
struct ParsedMessage {
  std::string method;  // of a request
  std::string target;  // of a request, as received
  int status = 0;      // of a response
  std::string reason;  // of a response
  int version = 11;    // 10 for HTTP/1.0
  HeaderList headers;
  // Fields after the last chunk. They say nothing about the message as a whole
  // and are not among the headers (RFC 9110, 6.5.1).
  HeaderList trailers;
  // Bytes of the body that were not taken yet.
  std::string body;
};

// Parses messages of callers and targets. Whatever bytes they send, parsing
// ends in an error code: the container for fields of Beast's own parser throws
// an exception at a name or a value of 64 KB.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  // Limit on the names and values of the trailers together. What exceeds it is
  // the error `header_limit`.
  void trailer_limit(size_t bytes) { trailer_limit_ = bytes; }
  // Memory for a body of a known length is reserved up to this size.
  void reserve_limit(uint64_t bytes) { reserve_limit_ = bytes; }

  const ParsedMessage& message() const { return message_; }
  ParsedMessage& message() { return message_; }

 private:
  using error_code = boost::system::error_code;
  using string_view = boost::beast::string_view;

  static std::string ToString(string_view text) {
    return {text.data(), text.size()};
  }

  void on_request_impl(boost::beast::http::verb /*method*/,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& /*ec*/) override {
    message_.method = ToString(method);
    message_.target = ToString(target);
    message_.version = version;
  }

  void on_response_impl(int status,
                        string_view reason,
                        int version,
                        error_code& /*ec*/) override {
    message_.status = status;
    message_.reason = ToString(reason);
    message_.version = version;
  }

  void on_field_impl(boost::beast::http::field /*field*/,
                     string_view name,
                     string_view value,
                     error_code& ec) override {
    if (!this->is_header_done()) {
      message_.headers.emplace_back(ToString(name), ToString(value));
      return;
    }
    trailer_bytes_ += name.size() + value.size();
    if (trailer_bytes_ > trailer_limit_) {
      ec = boost::beast::http::error::header_limit;
      return;
    }
    message_.trailers.emplace_back(ToString(name), ToString(value));
  }

  void on_header_impl(error_code& /*ec*/) override {}

  void on_body_init_impl(const boost::optional<uint64_t>& length,
                         error_code& /*ec*/) override {
    if (length && *length <= reserve_limit_) {
      message_.body.reserve(static_cast<size_t>(*length));
    }
  }

  size_t on_body_impl(string_view bytes, error_code& /*ec*/) override {
    message_.body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& /*ec*/) override {}

  size_t on_chunk_body_impl(uint64_t /*left*/,
                            string_view bytes,
                            error_code& ec) override {
    return on_body_impl(bytes, ec);
  }

  void on_finish_impl(error_code& /*ec*/) override {}

  ParsedMessage message_;
  size_t trailer_limit_ = 0;
  size_t trailer_bytes_ = 0;
  uint64_t reserve_limit_ = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_RELAY_MESSAGE_PARSER_H_
