#include <cpprest/json.h>

#include <iostream>

#include "cli/command.h"
#include "cli/instance_query.h"

namespace endiveyard {

namespace po = boost::program_options;

int RunExplainCommand(const Arguments& arguments) {
  std::string url = "http://127.0.0.1:8080";
  std::string key;
  std::string model;
  std::string prompt;
  int max_tokens = 16;
  po::options_description options("endiveyard explain");
  options.add_options()("help", "print this text")("url", po::value(&url),
                                                   "URL of the instance")(
      "key", po::value(&key)->required(), "caller key")(
      "model", po::value(&model)->required(), "model name")(
      "prompt", po::value(&prompt)->default_value(""), "prompt text")(
      "max-tokens", po::value(&max_tokens), "maximum number of output tokens");
  po::variables_map values;
  int exit_code = kExitOk;
  if (!ParseArguments(options, arguments, &values, &exit_code)) {
    return exit_code;
  }
  web::json::value body = web::json::value::object();
  body["model"] = web::json::value::string(model);
  body["prompt"] = web::json::value::string(prompt);
  body["max_tokens"] = web::json::value::number(max_tokens);
  const auto response =
      QueryInstance(url, "POST", "/explain", key, body.serialize());
  if (!response.ok()) {
    std::cerr << response.status().message() << "\n";
    return kExitFailed;
  }
  std::cout << *response;
  return kExitOk;
}

}  // namespace endiveyard
