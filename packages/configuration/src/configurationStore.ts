/**
 * The configuration in the platform: sections and manifests as immutable objects, and one row that refers to the
 * current generation. A generation is accepted only by a conditional write of that row.
 */
import { type Clock } from '@cleatquay/clock';
import { Failure, asFailure } from '@cleatquay/errors';
import { type ObjectStore, type Table } from '@cleatquay/store';
import { type OperatorFile } from '@cleatquay/settings';
import { createHash, randomUUID } from 'node:crypto';
import {
  type ConfigurationRow,
  type Generation,
  MAX_HISTORY,
  type Manifest,
  parseConfigurationRow,
  parseManifest,
} from './configurationRow.js';
import { type Change, type Sections, differences, joinSections, splitSections } from './sections.js';

const ROW_KEY = 'configuration';
const MAX_ATTEMPTS = 30;
const RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5000;

/** A generation with its content. */
export interface AppliedVersion {
  readonly generation: number;
  readonly applyId: string;
  readonly sections: Sections;
}

const EMPTY: AppliedVersion = { generation: 0, applyId: '', sections: new Map() };

/** Reads the configuration, and applies new generations. */
export class ConfigurationStore {
  constructor(
    private readonly platform: Table & ObjectStore,
    private readonly clock: Clock,
  ) {}

  /** The number of the current generation; 0 before the first. */
  async generation(): Promise<number> {
    return (await this.current()).generation;
  }

  /** The current generation, without its content. */
  async current(): Promise<Pick<Generation, 'generation' | 'applyId'>> {
    const { value } = await this.readRow();
    return value ?? EMPTY;
  }

  /** The current version, or one of the last fifty accepted ones. */
  async read(generation?: number): Promise<AppliedVersion> {
    const { value } = await this.readRow();
    if (!value) return EMPTY;
    const wanted = generation === undefined ? value : value.recent.find(g => g.generation === generation);
    if (wanted) return this.load(wanted);
    throw new Failure(`Generation ${String(generation)} is no longer in the history.`, {
      result: 'objectMissing',
    });
  }

  /** The last accepted generations, newest first. */
  async history(): Promise<readonly Generation[]> {
    const { value } = await this.readRow();
    return value?.recent ?? [];
  }

  /**
   * Makes `file` the next generation after `base`, or after the current one if `base` is absent. Throws `applyConflict` if another operator
   * applied a generation first. If the response to the write is lost, the apply id tells whether the write took effect.
   */
  async apply(file: OperatorFile, base?: number): Promise<{ applied: Generation; changes: Change[] }> {
    const { value, version } = await this.readRow();
    if (base !== undefined && base !== (value?.generation ?? 0)) throw await this.conflict(file, value);
    const current = value ? await this.load(value) : EMPTY;
    const sections = splitSections(file);
    const next = await this.write(sections, current, value);
    await this.accept(next, version, file);
    return { applied: next, changes: differences(current.sections, sections) };
  }

  private async write(sections: Sections, current: AppliedVersion, row: ConfigurationRow | undefined) {
    const generation = current.generation + 1;
    const changed = differences(current.sections, sections);
    const manifest: Manifest = { sections: {} };
    const changedNames = new Set(changed.map(change => change.section));
    for (const [name, content] of sections) {
      const object = sectionObject(content);
      if (changedNames.has(name)) await this.writeObject(object, content);
      manifest.sections[name] = { object };
    }
    const applyId = randomUUID();
    const name = `manifest-${applyId}`;
    await this.writeObject(name, JSON.stringify(manifest));
    const applied: Generation = {
      generation,
      applyId,
      manifest: name,
      appliedAt: this.clock.date().toISOString(),
    };
    const recent = [applied, ...(row?.recent ?? [])].slice(0, MAX_HISTORY);
    return { ...applied, recent } satisfies ConfigurationRow;
  }

  /** Retries the conditional write until its result is known; a retry cannot apply it twice. */
  private async accept(next: ConfigurationRow, version: number, file: OperatorFile): Promise<void> {
    await this.withRetries(async () => {
      const result = await this.platform.commit([
        { key: ROW_KEY, value: JSON.stringify(next), ifVersion: version },
      ]);
      if (result.committed) return;
      const { value } = await this.readRow();
      if (value?.recent.some(g => g.applyId === next.applyId)) return;
      throw await this.conflict(file, value);
    });
  }

  /** Objects are immutable, so that a write can be retried safely. */
  private writeObject(name: string, content: string): Promise<void> {
    return this.withRetries(() => this.platform.put(name, content));
  }

  /** Retries an idempotent action while the platform does not respond. */
  private async withRetries(action: () => Promise<void>): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      try {
        return await action();
      } catch (error) {
        const failure = asFailure(error);
        if (failure.result !== 'platformDown' || attempt === MAX_ATTEMPTS) throw failure;
        await this.clock.sleep(Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * attempt));
      }
    }
  }

  private async conflict(file: OperatorFile, row: ConfigurationRow | undefined): Promise<Failure> {
    const current = row ? await this.load(row) : EMPTY;
    const changes = differences(splitSections(file), current.sections);
    const list = changes.map(change => `${change.section} ${change.kind}`).join(', ') || 'nothing';
    const message = `Generation ${String(current.generation)} is active; changes relative to your file: ${list}.`;
    return new Failure(message, { result: 'applyConflict' });
  }

  private async readRow(): Promise<{ value: ConfigurationRow | undefined; version: number }> {
    const row = await this.platform.read(ROW_KEY);
    return { value: row && parseConfigurationRow(row.value), version: row?.version ?? 0 };
  }

  private async load(wanted: Generation): Promise<AppliedVersion> {
    const manifest = parseManifest(await this.readObject(wanted.manifest));
    const entries = Object.entries(manifest.sections);
    const sections = new Map<string, string>();
    for (const [name, { object }] of entries) sections.set(name, await this.readSection(object));
    joinSections(sections);
    return { generation: wanted.generation, applyId: wanted.applyId, sections };
  }

  /** Its name is the digest of its content, so that other content shows. */
  private async readSection(object: string): Promise<string> {
    const content = await this.readObject(object);
    if (sectionObject(content) === object) return content;
    throw new Failure(`The content of ${object} has another digest.`, { result: 'platformAnswerInvalid' });
  }

  private async readObject(name: string): Promise<string> {
    const content = await this.platform.get(name);
    if (content !== undefined) return content;
    throw new Failure(`The object store has no ${name}.`, { result: 'objectMissing' });
  }
}

/** Name of the object that holds a section. */
function sectionObject(content: string): string {
  return `section-${createHash('sha256').update(content).digest('hex')}`;
}
