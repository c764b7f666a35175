/// Engine on loopback that answers by a script, on the event loop of the test.
#pragma once

#include "gateway/header_names.h"
#include "serving/serving_threads.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/coroutine/attributes.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace shedshed::test {

/// What the engine does with one request.
struct ScriptedReply {
  int status = 200;
  std::string body = "body";
  bool eventStream = false;
  bool notRun = false;
  /// The same answer is sent once more when the next request arrives on the connection, before the
  /// answer to that request.
  bool repeatedLate = false;
};

/// Answers requests in the order of their arrival over all connections. Without a scripted reply it
/// answers 200.
class ScriptedEngine {
  using Tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

 public:
  struct Received {
    std::size_t connection = 0;  ///< Index, from 0.
    std::string requestId;
    std::string target;
    std::vector<std::pair<std::string, std::string>> fields;  ///< Names and values.

    /// The values of all fields @p name, in their order.
    std::vector<std::string> values(const std::string& name) const {
      std::vector<std::string> found;
      for (const auto& [fieldName, value] : fields) {
        if (boost::beast::iequals(fieldName, name)) {
          found.push_back(value);
        }
      }
      return found;
    }
  };

  ScriptedEngine(ServingIoContext& io, HeaderNames names)
      : io_(io), names_(std::move(names)),
        acceptor_(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    acceptNext();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::deque<ScriptedReply> script;
  std::vector<Received> received;

 private:
  void acceptNext() {
    acceptor_.async_accept([this](const boost::system::error_code& failed, Tcp::socket socket) {
      if (failed) {
        return;
      }
      auto shared = std::make_shared<Tcp::socket>(std::move(socket));
      const std::size_t number = connections_++;
      boost::asio::spawn(
          io_,
          [this, shared, number](boost::asio::yield_context yield) {
            serve(*shared, number, yield);
          },
          boost::coroutines::attributes(256U << 10U));
      acceptNext();
    });
  }

  void serve(Tcp::socket& socket, std::size_t number, boost::asio::yield_context yield) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code failed;
    std::string surplus;
    while (!failed) {
      Request request;
      boost::beast::http::async_read(socket, buffer, request, yield[failed]);
      if (failed) {
        return;
      }
      received.push_back(
          {number, std::string(request[names_.requestId]), std::string(request.target()), {}});
      for (const auto& field : request) {
        received.back().fields.emplace_back(field.name_string(), field.value());
      }
      ScriptedReply reply;
      if (!script.empty()) {
        reply = script.front();
        script.pop_front();
      }
      const std::string answer = textOf(reply, received.back().requestId);
      const std::string bytes = surplus + answer;
      surplus = reply.repeatedLate ? answer : std::string();
      boost::asio::async_write(socket, boost::asio::buffer(bytes), yield[failed]);
    }
  }

  std::string textOf(const ScriptedReply& reply, const std::string& requestId) const {
    const std::string type = reply.eventStream ? "text/event-stream" : "application/json";
    return "HTTP/1.1 " + std::to_string(reply.status) + " S\r\nContent-Type: " + type + "\r\n" +
           names_.requestId + ": " + requestId + "\r\n" + names_.signature + ": s\r\n" +
           (reply.notRun ? names_.notRun + ": 1\r\n" : std::string()) +
           "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
  }

  ServingIoContext& io_;
  const HeaderNames names_;
  Tcp::acceptor acceptor_;
  std::size_t connections_ = 0;
};

}  // namespace shedshed::test
