// HTTP engine on the loopback interface with fault injection. Uses one thread per connection.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace shedshed::test {

enum class Fault {
  None,
  ResetBeforeAnswer,  // Reads the request, then resets the connection.
  NoAnswer,           // Reads the request and never answers.
  TruncatedBody,      // Closes the connection before the end of the body.
  WrongIdInHeader,    // Another request's id in the header.
  WrongIdInBody,      // Another request's id in the body, or in the second event.
  MissingEndEvent,    // Ends the chunked stream without `[DONE]`.
  MissingLastChunk,   // Sends `[DONE]`, but no last chunk.
  TrailingBytes,      // Sends extra bytes after a complete answer.
  RepeatedLate,       // Sends the answer again when the next request arrives on the connection.
  NoFraming,          // Neither Content-Length nor chunked encoding.
  ServerError,        // Status 500.
  BadRequest,         // Status 400.
};

class FakeEngine {
  using Tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

 public:
  FakeEngine()
      : acceptor_(io_, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        port_(acceptor_.local_endpoint().port()), accepting_([this]() { acceptAll(); }) {}

  ~FakeEngine() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
      for (const auto& socket : sockets_) {
        ::shutdown(socket->native_handle(), SHUT_RDWR);
      }
    }
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    accepting_.join();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  void fail(Fault fault) {
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_.push_back(fault);
  }

  void clearFaults() {
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_.clear();
  }

  // Request ids of all calls received.
  std::vector<std::string> runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  std::size_t connections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return sockets_.size();
  }
  void waitForRuns(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&]() { return runs_.size() >= count; });
  }
  // Waits until the peer has closed @p count connections on which a `NoAnswer` fault was injected.
  void waitForAbandoned(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&]() { return abandoned_ >= count; });
  }

 private:
  void acceptAll() {
    while (true) {
      auto socket = std::make_shared<Tcp::socket>(io_);
      boost::system::error_code failed;
      acceptor_.accept(*socket, failed);
      const std::lock_guard<std::mutex> lock(mutex_);
      if (failed || stopping_) {
        return;
      }
      sockets_.push_back(socket);
      threads_.emplace_back([this, socket]() { serve(*socket); });
    }
  }

  void serve(Tcp::socket& socket) {
    std::string surplus;
    boost::beast::flat_buffer buffer;
    boost::system::error_code failed;
    while (!failed) {
      Request request;
      boost::beast::http::read(socket, buffer, request, failed);
      if (!failed && !surplus.empty()) {
        write(socket, surplus);
      }
      surplus.clear();
      if (!failed && !answer(socket, request, surplus)) {
        return;
      }
    }
  }

  Fault received(const Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back(std::string(request["X-Request-Id"]));
    changed_.notify_all();
    if (faults_.empty()) {
      return Fault::None;
    }
    const Fault fault = faults_.front();
    faults_.pop_front();
    return fault;
  }

  // Sets @p surplus to what is to be sent before the answer to the next request.
  bool answer(Tcp::socket& socket, const Request& request, std::string& surplus) {
    if (request.target() == "/health") {
      const std::string body = R"({"status":"draining","running":3,"max_running":8,"model":"m"})";
      return write(socket, head(200, "application/json", "x") + lengthOf(body) + body);
    }
    const Fault fault = received(request);
    if (fault == Fault::ResetBeforeAnswer) {
      socket.set_option(boost::asio::socket_base::linger(true, 0));
      closeNow(socket);
      return false;
    }
    if (fault == Fault::NoAnswer) {
      char byte;
      boost::system::error_code failed;
      socket.read_some(boost::asio::buffer(&byte, 1), failed);
      const std::lock_guard<std::mutex> lock(mutex_);
      ++abandoned_;
      changed_.notify_all();
      return false;
    }
    const std::string id(request["X-Request-Id"]);
    const bool stream = request.body().find("\"stream\":true") != std::string::npos;
    if (fault == Fault::RepeatedLate) {
      surplus = stream ? streamText(id, fault) : wholeText(id, fault);
    }
    return stream ? answerStream(socket, id, fault) : answerWhole(socket, id, fault);
  }

  static std::string wholeText(const std::string& id, Fault fault) {
    const std::string body =
        R"({"id":")" + (fault == Fault::WrongIdInBody ? "crossed-id" : id) + R"(","text":"hi"})";
    const int status = fault == Fault::ServerError ? 500 : (fault == Fault::BadRequest ? 400 : 200);
    std::string text =
        head(status, "application/json", fault == Fault::WrongIdInHeader ? "crossed-id" : id);
    text += fault == Fault::NoFraming ? "\r\n" : lengthOf(body);
    text += fault == Fault::TruncatedBody ? body.substr(0, 5) : body;
    text += fault == Fault::TrailingBytes ? "HTTP/1.1 200 OK\r\n" : "";
    return text;
  }

  bool answerWhole(Tcp::socket& socket, const std::string& id, Fault fault) {
    const bool close = fault == Fault::TruncatedBody || fault == Fault::NoFraming;
    return finish(socket, wholeText(id, fault), close);
  }

  static std::string streamText(const std::string& id, Fault fault) {
    std::string text =
        head(200, "text/event-stream", fault == Fault::WrongIdInHeader ? "crossed-id" : id) +
        "Transfer-Encoding: chunked\r\n\r\n";
    const int events = 3;
    for (int i = 0; i < events; ++i) {
      const bool crossed = fault == Fault::WrongIdInBody && i == 1;
      text += chunk(R"(data: {"id":")" + (crossed ? "crossed-id" : id) + R"(","n":)" +
                    std::to_string(i) + "}\n\n");
      if (fault == Fault::TruncatedBody && i == 1) {
        return text;
      }
    }
    text += fault == Fault::MissingEndEvent ? "" : chunk("data: [DONE]\n\n");
    text += fault == Fault::MissingLastChunk ? "" : "0\r\n\r\n";
    return text;
  }

  bool answerStream(Tcp::socket& socket, const std::string& id, Fault fault) {
    const bool close = fault == Fault::TruncatedBody || fault == Fault::MissingLastChunk;
    return finish(socket, streamText(id, fault), close);
  }

  static std::string head(int status, const std::string& type, const std::string& id) {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: " + type +
           "\r\nX-Request-Id: " + id + "\r\n";
  }
  static std::string lengthOf(const std::string& body) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  }
  static std::string chunk(const std::string& data) {
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
  }
  static bool write(Tcp::socket& socket, const std::string& text) {
    boost::system::error_code failed;
    boost::asio::write(socket, boost::asio::buffer(text), failed);
    return !failed;
  }
  bool finish(Tcp::socket& socket, const std::string& text, bool close) {
    const bool written = write(socket, text);
    if (close) {
      closeNow(socket);
    }
    return written && !close;
  }
  void closeNow(Tcp::socket& socket) {
    const std::lock_guard<std::mutex> lock(mutex_);
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Fault> faults_;
  std::vector<std::string> runs_;
  std::size_t abandoned_ = 0;
  bool stopping_ = false;
  std::vector<std::shared_ptr<Tcp::socket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

}  // namespace shedshed::test
