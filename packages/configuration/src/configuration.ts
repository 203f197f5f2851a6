/** The configuration that one daemon has in force. It only ever moves to higher generations. */
import { type Clock } from '@cleatquay/clock';
import { invariant } from '@cleatquay/errors';
import { type ConfigurationAnswer, type ConfigurationRequest, type Section } from '@cleatquay/protocol';
import { type AppliedVersion } from './configurationStore.js';
import { type Change, type Sections, differences, digestOf } from './sections.js';

/** Where a version came from: the platform, or the inner address of a peer. */
export type Origin = 'platform' | (string & {});

/** A version that has just been put in force. */
export interface Adoption {
  readonly generation: number;
  readonly digest: string;
  readonly from: Origin;
  /** What was in force before; generation 0 before the first. */
  readonly before: { readonly generation: number; readonly digest: string };
  readonly changes: readonly Change[];
}

/** Holds the version in force and hands out what a peer lacks. */
export class Configuration<Compiled> {
  private version: AppliedVersion | undefined;
  private compiled: Compiled | undefined;

  private adopted: Date | undefined;
  private contentDigest = '';

  constructor(
    private readonly clock: Clock,
    /** Makes sections ready for use; fails for content that doesn't check. */
    private readonly compile: (sections: Sections) => Compiled,
    private readonly onChange: (adoption: Adoption) => void,
  ) {}

  /** 0 before the first. */
  get generation(): number {
    return this.version?.generation ?? 0;
  }

  /** Identifies the apply that made the version in force. */
  get applyId(): string {
    return this.version?.applyId ?? '';
  }

  /** Names the content in force: two daemons with one generation and two digests differ. Empty before the first. */
  get digest(): string {
    return this.contentDigest;
  }

  /** When the version in force came. */
  get adoptedAt(): Date | undefined {
    return this.adopted;
  }

  /** What is in force, ready for use; undefined before the first generation. */
  get inForce(): Compiled | undefined {
    return this.compiled;
  }

  /** Puts a version in force if it is higher; says whether it did. Fails for content that doesn't check. */
  adopt(version: AppliedVersion, from: Origin): boolean {
    const before = { generation: this.generation, digest: this.digest };
    if (version.generation <= before.generation) return false;
    const changes = differences(this.version?.sections ?? new Map(), version.sections);
    this.compiled = this.compile(version.sections);
    invariant(version.generation > this.generation, 'Configuration: a generation went back.');
    this.version = version;
    this.contentDigest = digestOf(version.sections);
    this.adopted = this.clock.date();
    this.onChange({ generation: version.generation, digest: this.digest, from, before, changes });
    return true;
  }

  /** Puts a whole in force of which only the content is known, not what changed when. */
  adoptWhole(generation: number, sections: Sections, from: Origin): boolean {
    const known = this.version;
    const since = new Map(known?.since);
    const names = new Set([...sections.keys(), ...(known?.sections.keys() ?? [])]);
    for (const name of names) {
      if (sections.get(name) !== known?.sections.get(name)) since.set(name, generation);
    }
    return this.adopt({ generation, applyId: String(generation), sections, since }, from);
  }

  /** Asks a peer for what this daemon lacks. */
  question(): ConfigurationRequest {
    return { generation: this.generation };
  }

  /** What a peer that asks lacks; the whole when it has nothing. */
  answer({ generation: known }: ConfigurationRequest): ConfigurationAnswer {
    const version = this.version;
    if (!version || known >= version.generation) {
      return { generation: this.generation, base: known, sections: [], applyId: this.applyId };
    }
    const names = [...version.since].filter(([, since]) => since > known).map(([name]) => name);
    const sections = names.map((name): Section => ({ name, content: version.sections.get(name) ?? '' }));
    return { generation: version.generation, base: known, sections, applyId: version.applyId };
  }

  /** Puts a peer's answer in force if it is higher and made for what is in force here. */
  adoptAnswer(answer: ConfigurationAnswer, from: Origin): boolean {
    if (answer.generation <= this.generation || answer.base !== this.generation) return false;
    const sections = new Map(this.version?.sections);
    const since = new Map(this.version?.since);
    for (const { name, content } of answer.sections) {
      if (content === '') sections.delete(name);
      else sections.set(name, content);
      since.set(name, answer.generation);
    }
    return this.adopt({ generation: answer.generation, applyId: answer.applyId, sections, since }, from);
  }
}
