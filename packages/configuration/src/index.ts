/** Applies, stores and distributes the operators' configuration. */
export { type Adoption, Configuration, type Origin } from './configuration.js';
export { ConfigurationStore, type AppliedVersion, type Generation } from './configurationStore.js';
export { ConfigurationDistribution, type DistributionOptions } from './configurationDistribution.js';
export {
  type Change,
  type Sections,
  differences,
  digestOf,
  joinSections,
  splitSections,
} from './sections.js';
export { Freshness, type FreshnessProof, type Moment, type ConfigurationVersion } from './freshness.js';
export {
  ConfigurationWatcher,
  type ConfigurationSource,
  type SourcedVersion,
} from './configurationWatcher.js';
