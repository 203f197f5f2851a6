/** The operators' command line. The program is `bin/cleatquay.js`. */
export { ConfigurationCommands } from './configurationCommands.js';
export { FleetCommands, type DaemonStatus } from './fleetCommands.js';
