/// @file
/// The daemon: ingress on worker threads, admission and control on the main
/// thread.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/net/config_source.hpp"
#include "baobab/net/evacuation_source.hpp"
#include "baobab/net/store.hpp"
#include "baobab/node/settings_reloader.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace baobab {

/// Opens the platform's services that a daemon depends on.
struct Platform
{
  std::function<std::unique_ptr<Store>(boost::asio::io_context&,
                                       const Endpoint&)>
    openStore;
  std::function<std::unique_ptr<ConfigSource>(boost::asio::io_context&,
                                              const Endpoint&)>
    openConfig;
  /// Unset if the platform has no evacuations of availability zones.
  std::function<std::unique_ptr<EvacuationSource>(boost::asio::io_context&,
                                                  const Endpoint&)>
    openEvacuations;
};

/// Returns the built-in platform: the HTTP object store and the manifest
/// published in it.
Platform DefaultPlatform();

/// Runs a daemon until SIGTERM or SIGINT, then drains it. Fails with System
/// if an address cannot be used.
/// @param aReader reloads the settings, on SIGHUP and when the file changes
Result<Done> RunDaemon(const LoadedSettings& aSettings,
                       const Platform& aPlatform,
                       SettingsReader aReader);

}
