/** Applies, stores and distributes the operators' configuration. */
export { type Adoption, Configuration, type Origin } from './configuration.js';
export { ConfigurationStore, type AppliedVersion } from './configurationStore.js';
export { type Generation, parseConfigurationRow } from './configurationRow.js';
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
