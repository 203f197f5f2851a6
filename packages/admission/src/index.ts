/** Admission control: concurrency and rate limits of an upstream, and the order in which requests are refused under overload. */
export {
  Admission,
  type AdmissionOptions,
  type Occupancy,
  type Permit,
  type PermitResult,
} from './admission.js';
export { AdaptiveLimit } from './adaptiveLimit.js';
export { SaturationDetector } from './saturationDetector.js';
export { AdmissionLevel } from './admissionLevel.js';
export { requestLevel, forwardingLevel, progressLevel, strictRequestLevel } from './requestLevel.js';
export { RouteCosts } from './routeCosts.js';
export { UnknownRuns } from './unknownRuns.js';
export { RateLimit } from './rateLimit.js';
export { ProcessorPressure } from './processorPressure.js';
