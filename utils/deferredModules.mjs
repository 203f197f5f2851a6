/**
 * An esbuild plugin for modules that a bundle loads only when they are first used. A library loads all of its parts
 * at once; what a daemon never uses would cost it memory and processor time at every start.
 */

/** Stands for a module: whatever is done to it is done to the real one, which is loaded then. */
const STAND_IN = `
  const deferred = load => {
    let loaded;
    const real = () => (loaded ??= load());
    // Copies of settings look at symbols of all that they hold, which is no use.
    const isUse = key => typeof key === 'string' || key === Symbol.hasInstance;
    return new Proxy(function () {}.bind(), {
      get: (target, key) => (isUse(key) ? real() : target)[key],
      has: (target, key) => key in (isUse(key) ? real() : target),
      apply: (_, self, values) => Reflect.apply(real(), self, values),
      construct: (_, values) => Reflect.construct(real(), values),
    });
  };
`;

/**
 * Defers CommonJS modules, by the paths under which libraries require them. `parts` stay in the bundle, since they
 * share state with what is loaded; `packages` share none, and go to a second bundle, so that the first is shorter.
 */
export class DeferredModules {
  /** Where the packages are, by the path under which they are required. */
  found = new Map();

  constructor({ parts, packages, secondBundle }) {
    Object.assign(this, { parts, packages, secondBundle });
  }

  /** For the build of the bundle itself. */
  get plugin() {
    return {
      name: 'deferred-modules',
      setup: build => {
        build.onResolve({ filter: /./ }, request => this.#resolve(build, request));
        build.onLoad({ filter: /./, namespace: 'deferred' }, ({ path }) => this.#load(path));
      },
    };
  }

  /** What the second bundle is built from; known once the first is built. */
  get entry() {
    const lines = [...this.found].map(([name, path]) => `${quote(name)}: () => require(${quote(path)}),`);
    return `module.exports = {\n${lines.join('\n')}\n};`;
  }

  async #resolve(build, { path, kind, namespace, resolveDir }) {
    if (kind !== 'require-call' || namespace !== 'file') return undefined;
    if (this.parts.includes(path)) return { path: `${resolveDir}\n${path}`, namespace: 'deferred' };
    if (!this.packages.includes(path)) return undefined;
    const { path: place } = await build.resolve(path, { resolveDir, kind: 'import-statement' });
    this.found.set(path, place);
    return { path, namespace: 'deferred' };
  }

  #load(path) {
    const [resolveDir, part] = path.split('\n');
    const load = part ? `require(${quote(part)})` : `require(${quote(this.secondBundle)})[${quote(path)}]()`;
    return { contents: `${STAND_IN} module.exports = deferred(() => ${load});`, resolveDir };
  }
}

function quote(text) {
  return JSON.stringify(text);
}
