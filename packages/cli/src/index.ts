/** The command-line interface for operators. The executable is `bin/cleatquay.js`. */
export { ConfigurationCommands } from './configurationCommands.js';
export { FleetCommands, type DaemonStatus } from './fleetCommands.js';
