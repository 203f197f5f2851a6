/** Bounds how deeply data from outside may be nested, before recursive work on it could overflow the stack. */

/** Every format of this project has fewer than ten levels. */
export const MAX_NESTING_DEPTH = 64;

/** Whether lists and objects are nested beyond `MAX_NESTING_DEPTH`. The work is linear in the size of the data, and not recursive. */
export function isNestedTooDeeply(data: unknown): boolean {
  let level = [data].filter(isContainer);
  for (let depth = 0; depth < MAX_NESTING_DEPTH; depth++) {
    if (level.length === 0) return false;
    level = level.flatMap(container => Object.values(container).filter(isContainer));
  }
  return level.length > 0;
}

function isContainer(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}
