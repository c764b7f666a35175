/// @file
/// Parsers of the values of process settings, as text of a flag or of the settings file.
#pragma once

#include "settings/process_settings.h"

#include <functional>
#include <string>

namespace shedshed {

/// Parses a value and stores it in the settings; returns false if it is not allowed. The
/// settings must not be used after a rejected value.
using ProcessValueParser = std::function<bool(ProcessSettings&, const std::string&)>;

bool parseRole(ProcessSettings& settings, const std::string& value);
bool parseInternalAddress(ProcessSettings& settings, const std::string& value);
/// Parses addresses separated by commas.
bool parseSeeds(ProcessSettings& settings, const std::string& value);
bool parseSeedPort(ProcessSettings& settings, const std::string& value);
bool parseDiskMegabytes(ProcessSettings& settings, const std::string& value);
bool parseToleratedLosses(ProcessSettings& settings, const std::string& value);
bool parseFirstStart(ProcessSettings& settings, const std::string& value);
bool parseLogLevel(ProcessSettings& settings, const std::string& value);

/// Returns a parser of texts that pass @p isAllowed.
ProcessValueParser textParser(std::string ProcessSettings::*member,
                              bool (*isAllowed)(const std::string&));

/// Returns a parser of seconds above 0, with fractions.
ProcessValueParser secondsParser(Duration ProcessSettings::*member);

/// True for 1 to 64 bytes: a zone or the name of a node.
bool isShortName(const std::string& text);

bool isNotEmpty(const std::string& text);

}  // namespace shedshed
