#include "runtime/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace shedshed {

void initializeLogging(const std::string& level) {
  static log4cplus::Initializer initializer;
  constexpr bool kToStandardError = true;
  constexpr bool kFlushEachLine = true;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  appender->setLayout(std::unique_ptr<log4cplus::Layout>(
      new log4cplus::PatternLayout("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(level == "warn"    ? "WARN"
                                                              : level == "error" ? "ERROR"
                                                              : level == "debug" ? "DEBUG"
                                                                                 : "INFO"));
}

void logInfo(const std::string& component, const std::string& text) {
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance(component), text);
}

void logWarning(const std::string& component, const std::string& text) {
  LOG4CPLUS_WARN(log4cplus::Logger::getInstance(component), text);
}

void logEvent(const std::string& component, const TraceEvent& event) {
  const log4cplus::Logger logger = log4cplus::Logger::getInstance(component);
  switch (event.severity()) {
  case Severity::Info:
    LOG4CPLUS_INFO(logger, event.text());
    return;
  case Severity::Warning:
    LOG4CPLUS_WARN(logger, event.text());
    return;
  case Severity::Error:
    LOG4CPLUS_ERROR(logger, event.text());
    return;
  }
}

void logError(const std::string& component, const Error& error) {
  LOG4CPLUS_ERROR(log4cplus::Logger::getInstance(component), errorTypeName(error.code)
                                                                 << ": " << error.detail);
}

}  // namespace shedshed
