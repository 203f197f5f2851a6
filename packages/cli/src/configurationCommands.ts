/** The commands validate, diff, apply, rollback, history and show. */
import {
  type ConfigurationStore,
  differences,
  digestOf,
  joinSections,
  splitSections,
} from '@cleatquay/configuration';
import { readOperatorFile } from '@cleatquay/settings';
import { table } from './output.js';

export interface AcceptedGeneration {
  readonly generation: number;
  /** Digest of its content. */
  readonly digest: string;
  /** Output for the operator. */
  readonly text: string;
}

/** Commands on the operator file and the platform; each returns its output. */
export class ConfigurationCommands {
  constructor(private readonly store: ConfigurationStore) {}

  /** Validates a file. */
  static validate(path: string): string {
    const { deployment, services } = readOperatorFile(path);
    const routes = Object.values(services).reduce(
      (sum, service) => sum + Object.keys(service.routes).length,
      0,
    );
    return `${path} is valid: ${deployment}, ${String(Object.keys(services).length)} services, ${String(routes)} routes.`;
  }

  /** Lists what applying the file would change. */
  async diff(path: string): Promise<string> {
    const wanted = splitSections(readOperatorFile(path));
    const current = await this.store.read();
    const changes = differences(current.sections, wanted);
    if (changes.length === 0) return `Nothing would change against generation ${String(current.generation)}.`;
    const rows = changes.map(({ section, kind }) => [section, kind]);
    return `Against generation ${String(current.generation)}:\n${table(['section', 'change'], rows)}`;
  }

  /** Writes the file as the next generation. */
  async apply(path: string, base: number | undefined): Promise<AcceptedGeneration> {
    const file = readOperatorFile(path);
    const { applied, changes } = await this.store.apply(file, base);
    const list = changes.map(({ section, kind }) => `${section} ${kind}`).join(', ') || 'no section changed';
    return {
      generation: applied.generation,
      digest: digestOf(splitSections(file)),
      text: `Generation ${String(applied.generation)} is accepted: ${list}.`,
    };
  }

  /** Writes the content of an earlier generation as the next generation. */
  async rollback(generation: number): Promise<AcceptedGeneration> {
    const { sections } = await this.store.read(generation);
    const { applied } = await this.store.apply(joinSections(sections));
    const text = `Generation ${String(applied.generation)} is accepted, with the content of ${String(generation)}.`;
    return { generation: applied.generation, digest: digestOf(sections), text };
  }

  /** Lists the latest generations. */
  async history(): Promise<string> {
    const generations = await this.store.history();
    return table(
      ['generation', 'applied at', 'apply id'],
      generations.map(g => [g.generation, g.appliedAt, g.applyId]),
    );
  }

  /** Prints the file of a generation; the latest one by default. */
  async show(generation: number | undefined): Promise<string> {
    const { sections } = await this.store.read(generation);
    return JSON.stringify(joinSections(sections), undefined, 2);
  }
}
