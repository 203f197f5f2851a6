/** The configuration that one daemon has in force. It only ever moves to higher generations. */
import { type Clock } from '@cleatquay/clock';
import { invariant } from '@cleatquay/errors';
import { type ConfigurationAnswer, type Section } from '@cleatquay/protocol';
import { type AppliedVersion } from './configurationStore.js';
import { type Sections } from './sections.js';

/** Holds the version in force and hands out what a peer lacks. */
export class Configuration<Compiled> {
  private version: AppliedVersion | undefined;
  private compiled: Compiled | undefined;

  private adopted: Date | undefined;

  constructor(
    private readonly clock: Clock,
    /** Makes sections ready for use; fails for content that doesn't check. */
    private readonly compile: (sections: Sections) => Compiled,
    private readonly onChange: (generation: number) => void,
  ) {}

  /** 0 before the first. */
  get generation(): number {
    return this.version?.generation ?? 0;
  }

  /** Identifies the apply that made the version in force. */
  get applyId(): string {
    return this.version?.applyId ?? '';
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
  adopt(version: AppliedVersion): boolean {
    if (version.generation <= this.generation) return false;
    this.compiled = this.compile(version.sections);
    invariant(version.generation > this.generation, 'Configuration: a generation went back.');
    this.version = version;
    this.adopted = this.clock.date();
    this.onChange(version.generation);
    return true;
  }

  /** Puts a whole in force of which only the content is known, not what changed when. */
  adoptWhole(generation: number, sections: Sections): boolean {
    const known = this.version;
    const since = new Map(known?.since);
    const names = new Set([...sections.keys(), ...(known?.sections.keys() ?? [])]);
    for (const name of names) {
      if (sections.get(name) !== known?.sections.get(name)) since.set(name, generation);
    }
    return this.adopt({ generation, applyId: String(generation), sections, since });
  }

  /** What a peer at generation `known` lacks; the whole when it has nothing. */
  changesSince(known: number): ConfigurationAnswer {
    const version = this.version;
    if (!version || known >= version.generation) {
      return { generation: this.generation, base: known, sections: [], applyId: this.applyId };
    }
    const names = [...version.since].filter(([, since]) => since > known).map(([name]) => name);
    const sections = names.map((name): Section => ({ name, content: version.sections.get(name) ?? '' }));
    return { generation: version.generation, base: known, sections, applyId: version.applyId };
  }

  /** Puts a peer's answer in force if it is higher and made for what is in force here. */
  adoptChanges(answer: ConfigurationAnswer): boolean {
    if (answer.generation <= this.generation || answer.base !== this.generation) return false;
    const sections = new Map(this.version?.sections);
    const since = new Map(this.version?.since);
    for (const { name, content } of answer.sections) {
      if (content === '') sections.delete(name);
      else sections.set(name, content);
      since.set(name, answer.generation);
    }
    return this.adopt({ generation: answer.generation, applyId: answer.applyId, sections, since });
  }
}
