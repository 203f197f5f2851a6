/** Applies, stores and distributes the operators' configuration. */
export { type Adoption, Configuration, type Origin } from './configuration.js';
export { ConfigurationStore, type AppliedVersion, type Generation } from './configurationStore.js';
export { ConfigurationSpread, type SpreadOptions } from './configurationSpread.js';
export {
  type Change,
  type Sections,
  differences,
  digestOf,
  joinSections,
  splitSections,
} from './sections.js';
export { Freshness, type HeardProof, type Moment, type ProvenConfiguration } from './freshness.js';
export { ConfigurationWatch, type ConfigurationSource, type SourcedVersion } from './configurationWatch.js';
