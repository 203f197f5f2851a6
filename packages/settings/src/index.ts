/** Process settings and the operator file, each validated against its schema. */
export {
  type ProcessSettings,
  ProcessSettingsSchema,
  loadProcessSettings,
  splitAddress,
} from './processSettings.js';
export {
  type OperatorFile,
  type RouteDeclaration,
  type ServiceDeclaration,
  OperatorFileSchema,
} from './operatorFile.js';
export { checkOperatorFile, readOperatorFile } from './checkOperatorFile.js';
export { CallGraph, type Route, type RouteName } from './callGraph.js';
export { check, parseJson } from './check.js';
export {
  Address,
  Name,
  SequenceNumber,
  SlotCount,
  StartTime,
  Timestamp,
  warmupLeft,
} from './valueSchemas.js';
