package config

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"amaranthfork.example/fleet"
)

var (
	durationPattern = regexp.MustCompile(`^(?:(\d{1,9})d)?(?:(\d{1,9})h)?(?:(\d{1,9})m)?(?:(\d{1,9})s)?(?:(\d{1,9})ms)?$`)
	memoryPattern   = regexp.MustCompile(`^(\d{1,9})(MB|GB|TB)$`)
	percentPattern  = regexp.MustCompile(`^(\d{1,3})(?:\.(\d{1,6}))?%$`)
	vmRangePattern  = regexp.MustCompile(`^([^\[\]]*)\[(\d{1,9})-(\d{1,9})\]([^\[\]]*)$`)
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9](?:[A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)
)

// maxRangeVMs bounds the VMs of one range, so that a mistyped range does not use up
// the memory.
const maxRangeVMs = 10_000

// durationUnits are the units of durationPattern, in the order of its groups.
var durationUnits = []time.Duration{24 * time.Hour, time.Hour, time.Minute, time.Second, time.Millisecond}

// ParseDuration reads a duration such as 14d, 20m, 1h30m or 500ms. The units
// are d, h, m, s and ms, in this order.
func ParseDuration(text string) (time.Duration, error) {
	match := durationPattern.FindStringSubmatch(text)
	if match == nil || text == "" {
		return 0, fmt.Errorf("%q is not a duration with units, such as 14d, 20m or 1h30m", text)
	}
	var total time.Duration
	for i, unit := range durationUnits {
		if match[i+1] == "" {
			continue
		}
		count, err := strconv.ParseInt(match[i+1], 10, 64)
		if err != nil || count > int64((math.MaxInt64-total)/unit) {
			return 0, fmt.Errorf("duration %q is too large", text)
		}
		total += time.Duration(count) * unit
	}
	return total, nil
}

// FormatDuration returns a duration in the form that ParseDuration reads, rounded
// down to milliseconds. Its largest unit is the day.
func FormatDuration(d time.Duration) string {
	names := []string{"d", "h", "m", "s", "ms"}
	var b strings.Builder
	for i, unit := range durationUnits {
		if count := d / unit; count > 0 {
			fmt.Fprintf(&b, "%d%s", count, names[i])
			d -= count * unit
		}
	}
	if b.Len() == 0 {
		return "0s"
	}
	return b.String()
}

// memoryUnits holds the number of mebibytes in each unit.
var memoryUnits = map[string]int64{"MB": 1, "GB": 1 << 10, "TB": 1 << 20}

// ParseMemoryMB reads an amount of memory such as 512MB or 64GB and returns
// mebibytes. The units are MB, GB and TB, each 1024 times the one before.
func ParseMemoryMB(text string) (int64, error) {
	match := memoryPattern.FindStringSubmatch(text)
	if match == nil {
		return 0, fmt.Errorf("%q is not an amount of memory with a unit, such as 512MB or 64GB", text)
	}
	count, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not an amount of memory: %w", text, err)
	}
	return count * memoryUnits[match[2]], nil
}

// ParseThousandths reads a fraction, either a percentage such as 5% or 12.5%, or a
// whole number of thousandths such as 50. It returns thousandths, which may exceed
// 1000.
func ParseThousandths(text string) (int, error) {
	if match := percentPattern.FindStringSubmatch(text); match != nil {
		return thousandthsOfPercent(text, match[1], strings.TrimRight(match[2], "0"))
	}
	number, err := parseCount(text)
	if err != nil {
		return 0, fmt.Errorf("%q is neither a percentage such as 5%% nor a number of thousandths", text)
	}
	return number, nil
}

// thousandthsOfPercent returns the thousandths of a percentage, given its digits
// before and after the decimal point. text is the percentage, for messages.
func thousandthsOfPercent(text, whole, fraction string) (int, error) {
	if len(fraction) > 1 {
		return 0, fmt.Errorf("%q is finer than a tenth of a percent", text)
	}
	return parseCount(whole + (fraction + "0")[:1])
}

// FormatThousandths returns thousandths as a percentage.
func FormatThousandths(thousandths int) string {
	if thousandths%10 == 0 {
		return fmt.Sprintf("%d%%", thousandths/10)
	}
	return fmt.Sprintf("%d.%d%%", thousandths/10, thousandths%10)
}

// parseCount reads a whole number of at most 9 decimal digits, without a sign.
func parseCount(text string) (int, error) {
	if strings.Trim(text, "0123456789") != "" || text == "" || len(text) > 9 {
		return 0, fmt.Errorf("%q is not a whole number from 0 to 999999999", text)
	}
	return strconv.Atoi(text)
}

// ExpandVMs returns the VMs of a name or a range. The range w-[001-012] stands for
// w-001 to w-012; both ends must have the same number of digits.
func ExpandVMs(text string) ([]fleet.VMID, error) {
	match := vmRangePattern.FindStringSubmatch(text)
	if match == nil {
		if err := checkName(text); err != nil {
			return nil, err
		}
		return []fleet.VMID{fleet.VMID(text)}, nil
	}
	prefix, low, high, suffix := match[1], match[2], match[3], match[4]
	if len(low) != len(high) {
		return nil, fmt.Errorf("range %q has ends with different numbers of digits", text)
	}
	if err := checkName(prefix + low + suffix); err != nil {
		return nil, err
	}
	return expandRange(text, prefix, low, high, suffix)
}

// expandRange returns the VMs of a range from low to high. text is the range, for
// messages.
func expandRange(text, prefix, low, high, suffix string) ([]fleet.VMID, error) {
	first, err := parseCount(low)
	if err != nil {
		return nil, err
	}
	last, err := parseCount(high)
	if err != nil {
		return nil, err
	}
	if last < first {
		return nil, fmt.Errorf("range %q ends before it starts", text)
	}
	if last-first >= maxRangeVMs {
		return nil, fmt.Errorf("range %q has more than %d VMs", text, maxRangeVMs)
	}
	ids := make([]fleet.VMID, 0, last-first+1)
	for number := first; number <= last; number++ {
		ids = append(ids, fleet.VMID(fmt.Sprintf("%s%0*d%s", prefix, len(low), number, suffix)))
	}
	return ids, nil
}

// checkName returns an error if an object cannot have the name. Names appear in
// table keys and URL paths, so they must not contain the separators of either.
func checkName(name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%q is not a name: use up to 63 letters, digits, '.', '_' and '-', with a letter or digit at both ends", name)
	}
	return nil
}
