/** The daemon: the process that runs on the VM of each upstream and handles its calls. */
export { type ResponseWriter } from './callerResponse.js';
export { Daemon, type DaemonOptions } from './daemon.js';
export { type Listener } from './httpListeners.js';
export { type PlatformAdapter, RelayDaemon, type RelayDaemonOptions } from './relayDaemon.js';
export { type CallerDialect, RelayGateway, type RelayGatewayOptions } from './relayGateway.js';
export { ResponseCollector } from './responseCollector.js';
export { UnreadBodies } from './unreadBodies.js';
export { CloseLog } from './closeLog.js';
export { PipelinedRequests } from './pipelinedRequests.js';
export {
  type ExceptionSource,
  type UnhandledExceptionsOptions,
  UnhandledExceptions,
} from './unhandledExceptions.js';
export { ProcessStop, type ProcessStopOptions } from './processStop.js';
export { type DrainReason } from './drain.js';
export { LogOutput } from './logOutput.js';
export { PressureLog } from './pressureLog.js';
export { type CollectionKind, type HeapSizes, HeapActivity, PROCESS_HEAP } from './heapActivity.js';
export { ProcessorTime, ProcessorTimeLog, SAMPLE_INTERVAL } from './processorTime.js';
export { type RelaySettings } from './relaySettings.js';
export { type Announcement } from './announcement.js';
export { checkHealth } from './upstreamHealth.js';
export { UpstreamLoadMonitor } from './upstreamLoadMonitor.js';
export { Upstreams } from './upstreams.js';
export { ConfigurationUpdater } from './configurationUpdater.js';
export { PlatformContact } from './platformContact.js';
export { PlatformReaders } from './platformReaders.js';
export { Metrics } from './metrics.js';
export { checkPartition } from './operatorInput.js';
export { OperatorRequests } from './operatorRequests.js';
