/** The process beside each upstream. */
export { Daemon, type DaemonParts } from './daemon.js';
export { Upstreams, type Announcement } from './upstreams.js';
