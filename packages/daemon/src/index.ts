/** The process beside each upstream. */
export { type AnswerWriter } from './callerAnswer.js';
export { Daemon, type DaemonParts } from './daemon.js';
export { type Listener } from './httpListeners.js';
export { type Installation, RelayDaemon, type RelayDaemonParts } from './relayDaemon.js';
export { type CallerDialect, RelayGateway } from './relayGateway.js';
export { PressureLog } from './pressureLog.js';
export { type RelaySettings } from './relaySettings.js';
export { type Announcement } from './announcement.js';
export { Upstreams } from './upstreams.js';
export { Readers } from './readers.js';
