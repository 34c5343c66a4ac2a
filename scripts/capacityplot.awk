# Plots the rows of capacity.csv that have a budget as bars: the percentage of the
# budget in use, on a logarithmic scale from 0.01% to 100,000%.
BEGIN {
    FS = ","
    left = 430; scale = 60; rowHeight = 22; decades = 7
}
function x(percent) {
    if (percent < 0.01)
        percent = 0.01
    return left + scale * (log(percent) / log(10) + 2)
}
NR > 1 && $5 != "" && $1 != "slope" {
    part[++count] = $1
    label[count] = $1 ": " $2
    used[count] = 100 * $3 / $5
    text[count] = sprintf("%.3g of %s %s", $3, $5, $4)
}
END {
    width = left + scale * decades + 180
    height = rowHeight * count + 70
    printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n", width, height
    printf "<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n", width, height
    printf "<text x=\"10\" y=\"18\" font-size=\"14\">Part of each budget used at the design size (2,300 VMs), logarithmic</text>\n"
    for (decade = -2; decade <= 5; ++decade) {
        at = left + scale * (decade + 2)
        printf "<line x1=\"%d\" y1=\"30\" x2=\"%d\" y2=\"%d\" stroke=\"%s\"/>\n", at, at, height - 30, decade == 2 ? "#c00" : "#ddd"
        printf "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s%%</text>\n", at, height - 14, 10 ^ decade
    }
    for (i = 1; i <= count; ++i) {
        y = 34 + rowHeight * (i - 1)
        colour = used[i] > 100 ? "#c0392b" : "#2c7fb8"
        printf "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>\n", left - 6, y + 13, label[i]
        printf "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>\n", left, y, x(used[i]) - left + 1, rowHeight - 6, colour
        printf "<text x=\"%.1f\" y=\"%d\">%s</text>\n", x(used[i]) + 5, y + 13, text[i]
    }
    print "</svg>"
}
